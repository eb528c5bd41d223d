/// \file
/// Temporary directory of one test, removed on destruction.

#ifndef FESCUEWOOD_TESTS_SUPPORT_TEMPORARYFOLDER_H
#define FESCUEWOOD_TESTS_SUPPORT_TEMPORARYFOLDER_H

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

class TemporaryFolder {
public:
  TemporaryFolder()
      : Path((std::filesystem::temp_directory_path() / "fescuewood-XXXXXX")
                 .string()) {
    if (!mkdtemp(Path.data()))
      throw std::filesystem::filesystem_error(
          "cannot create a temporary directory", Path,
          std::error_code(errno, std::generic_category()));
  }
  /// Removes the directory, unless the environment variable KEEP_FOLDERS is
  /// set.
  ~TemporaryFolder() {
    std::error_code Ignored;
    if (!std::getenv("KEEP_FOLDERS"))
      std::filesystem::remove_all(Path, Ignored);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  const std::string &path() const { return Path; }

  /// Path of the file \p Name in the directory.
  std::string file(const std::string &Name) const { return Path + "/" + Name; }

  void write(const std::string &Name, const std::string &Text) const {
    std::ofstream(file(Name)) << Text;
  }

private:
  std::string Path;
};

#endif // FESCUEWOOD_TESTS_SUPPORT_TEMPORARYFOLDER_H
