package gateway

import (
	"net"
	"testing"
)

// A client sends a malformed greeting, or closes the connection in the middle of it. The gateway ends that connection and
// continues to serve other clients.
func TestMalformedGreeting(t *testing.T) {
	for name, greeting := range map[string]string{
		"another version":   "HELLO\r\nVersion: weirhaven/9\r\n\r\n",
		"another protocol":  "GET / HTTP/1.1\r\n\r\n",
		"incomplete header": "HELLO\r\nVersion: weir",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startGateway(t, "")
			for range 3 {
				nc, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := nc.Write([]byte(greeting)); err != nil {
					t.Error(err)
				}
				nc.Close()
				dial(t, address)
			}
		})
	}
}
