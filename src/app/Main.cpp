#include <cstdio>

int main() {
  std::puts("fescuewood " FESCUEWOOD_VERSION);
  return 0;
}
