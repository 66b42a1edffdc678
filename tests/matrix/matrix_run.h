#ifndef GALENAFLOW_MATRIX_RUN_H
#define GALENAFLOW_MATRIX_RUN_H

#include "matrix/invariants.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace galenaflow::matrix {

/// Runs cells of tests/matrix/matrix.json one after the other against one
/// deployment, which is replaced after a cell that failed.
class MatrixRun {
public:
  explicit MatrixRun(std::uint64_t seed);
  ~MatrixRun();

  /// Injects the scripts together while callers run, heals them, and checks
  /// the invariants. Returns the faults found; empty when the cell holds.
  std::vector<std::string> runCell(const std::vector<nlohmann::json> &scripts);

private:
  struct Batch;

  state::Result<bool> deploy();
  state::Result<bool> deployWithRetry();
  void apply(const nlohmann::json &action);
  void inject(const nlohmann::json &script);
  void applySignal(const nlohmann::json &action);
  bool startAgain(std::size_t daemon);
  void startBatch();
  void startCall(std::size_t daemon, Operation kind);
  bool finishBatch();
  void editPlans();
  void notePlanVersions();
  bool waitUntilWhole();
  bool isWhole(std::size_t daemon);
  std::vector<std::string>
  listUnseen(const std::vector<nlohmann::json> &scripts,
             const std::vector<double> &before);
  double counter(const nlohmann::json &seen);
  std::vector<std::string> judge(bool whole);

  std::uint64_t Seed;
  std::uint64_t NextCall = 0;
  std::unique_ptr<support::Deployment> Target;
  std::unique_ptr<Batch> Open;
  std::vector<std::string> SignalFaults;
  std::uint64_t SignalsSeen = 0;
  Observation Seen;
};

} // namespace galenaflow::matrix

#endif
