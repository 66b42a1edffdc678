#include "standin/program_main.h"
#include "standin/proxy_process.h"

int main(int argc, char **argv) {
  using namespace galenaflow::standin;
  return runProgram<ProxyProcess>(argc, argv);
}
