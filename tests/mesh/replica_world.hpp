// The control plane's cluster in virtual time (sim_mesh/control_cluster.hpp), under the name that tests have
// for it.
#pragma once

#include <doctest/doctest.h>

#include <random>

#include "sim_mesh/control_cluster.hpp"

namespace cobaltshift::control {

using simmesh::kFirstHub;
using ReplicaWorld = simmesh::ControlCluster;

}  // namespace cobaltshift::control
