#ifndef GALENAFLOW_SUPPORT_CERTIFICATE_FILE_H
#define GALENAFLOW_SUPPORT_CERTIFICATE_FILE_H

#include <string>

namespace galenaflow::support {

/// A PEM file with a key and a certificate for it, valid for an hour, which the
/// destructor removes.
class CertificateFile {
public:
  CertificateFile();
  ~CertificateFile();
  CertificateFile(const CertificateFile &) = delete;
  CertificateFile &operator=(const CertificateFile &) = delete;

  const std::string &path() const { return Path; }

private:
  std::string Path = "/tmp/galenaflow-test-XXXXXX";
};

} // namespace galenaflow::support

#endif
