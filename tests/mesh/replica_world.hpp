// Alias for the simulated cluster of control nodes in virtual time (sim_mesh/control_cluster.hpp).
#pragma once

#include <doctest/doctest.h>

#include <random>

#include "sim_mesh/control_cluster.hpp"

namespace cobaltshift::control {

using simmesh::kFirstHub;
using ReplicaWorld = simmesh::ControlCluster;

}  // namespace cobaltshift::control
