#include "support/certificate_file.h"

#include <cstdio>
#include <cstdlib>
#include <openssl/pem.h>
#include <openssl/x509.h>

namespace galenaflow::support {

CertificateFile::CertificateFile() {
  const int fd = mkstemp(Path.data());
  FILE *file = fd < 0 ? nullptr : fdopen(fd, "w");
  if (file == nullptr)
    std::abort();
  EVP_PKEY *key = EVP_EC_gen("P-256");
  X509 *certificate = X509_new();
  X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
  X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
  X509_set_pubkey(certificate, key);
  X509_sign(certificate, key, EVP_sha256());
  PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
  PEM_write_X509(file, certificate);
  X509_free(certificate);
  EVP_PKEY_free(key);
  static_cast<void>(std::fclose(file));
}

CertificateFile::~CertificateFile() { std::remove(Path.c_str()); }

} // namespace galenaflow::support
