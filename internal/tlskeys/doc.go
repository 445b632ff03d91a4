// Package tlskeys implements mutual TLS between gateways, controllers and operators, with TLS 1.3 or later. Each side verifies the
// signer, the validity period and the names of the other side's certificate.
//
// Keys and certificates are stored in files. They are read again when one of the files has changed, so that they can be replaced
// without a restart. While the new files cannot be read, for example because they are partially written, the previous keys stay in
// use. The other side's certificate is verified with the trusted certificates in the file at the time of the handshake.
//
// Make creates keys and certificates for tests and first installations.
package tlskeys
