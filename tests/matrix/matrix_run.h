#ifndef GALENAFLOW_MATRIX_RUN_H
#define GALENAFLOW_MATRIX_RUN_H

#include "matrix/invariants.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace galenaflow::matrix {

/// Runs cells of tests/matrix/matrix.json one after the other against one
/// deployment. After a failed cell, the next cell gets a new deployment.
class MatrixRun {
public:
  explicit MatrixRun(std::uint64_t seed);
  ~MatrixRun();

  /// Injects the faults of all scripts together while callers send requests,
  /// heals them, and checks the invariants. Returns the violations; empty if
  /// the cell passes.
  std::vector<std::string> runCell(const std::vector<nlohmann::json> &scripts);

private:
  struct Batch;

  state::Result<bool> deploy();
  state::Result<bool> deployWithRetry();
  void apply(const nlohmann::json &action);
  void inject(const nlohmann::json &script);
  void applySignal(const nlohmann::json &action);
  bool restartDaemon(std::size_t daemon);
  void startBatch();
  void startCall(std::size_t daemon, Operation kind);
  bool finishBatch();
  void editPlans();
  void recordPlanVersions();
  bool waitForRecovery();
  bool hasRecovered(std::size_t daemon);
  std::vector<std::string>
  listUnobservedFaults(const std::vector<nlohmann::json> &scripts,
                       const std::vector<double> &before);
  double counter(const nlohmann::json &evidence);
  std::vector<std::string> collectFaults(bool recovered);

  std::uint64_t Seed;
  std::uint64_t NextCall = 0;
  std::unique_ptr<support::Deployment> System;
  std::unique_ptr<Batch> CurrentBatch;
  std::vector<std::string> SignalFaults;
  std::uint64_t AppliedSignals = 0;
  Observation Observed;
};

} // namespace galenaflow::matrix

#endif
