#include "standin/backend_process.h"
#include "standin/program_main.h"

int main(int argc, char **argv) {
  using namespace galenaflow::standin;
  return runProgram<BackendProcess>(argc, argv);
}
