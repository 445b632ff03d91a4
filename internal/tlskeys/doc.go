// Package tlskeys is mutual TLS between gateways, controller and operators. Both sides show a certificate; the signer, the time and
// the names are checked by each; TLS 1.3 at least.
//
// Keys are files. They are read again when one of them has changed, so that they can be replaced without a restart, and the ones
// before stay in use while the new ones can't be read: they may be half written. Who signed the other side's certificate is checked by
// the files as they are at that handshake.
//
// Make writes keys for tests and first installations.
package tlskeys
