package httpgateway

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/httpgateway/config"
)

// A configuration is missing or has an invalid field. The error must name the field, and the gateway must not start.
func TestUnreadableConfiguration(t *testing.T) {
	file := t.TempDir() + "/c.json"
	if err := os.WriteFile(file, []byte(`{"listen":"127.0.0.1:x","discovery":"127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := config.Load(file); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Error(err)
	}
	c := Command{Config: file + "none"}
	if err := c.Execute(nil); err == nil {
		t.Error("a gateway without a configuration started")
	}
}

// minimalConfig is a configuration with only the required fields.
const minimalConfig = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{"cores":1,"memory_mb":16,"sockets":64},
"settings":{"limits":{"max_attempts":1,"conn_idle_us":1000000,"connect_timeout_us":200000},
"classes":[{"name":"read","aim_us":400000,"give_up_us":1000000,"semantics":"once"}],"plans":[{"name":"plain"}]}}`

// The configuration has only the required settings and the minimum number of sockets, idle clients use all of them, and the
// agent refuses connections. The gateway must become ready and serve, and must get the list once the agent is available.
func TestMinimalConfiguration(t *testing.T) {
	t.Parallel()
	endpoint, second := newEndpoint(t, respondNumbered), newEndpoint(t, respondNumbered)
	gateway := newGateway(t, endpoint)
	c, err := config.Parse([]byte(minimalConfig))
	if err != nil {
		t.Fatal(err)
	}
	c.Listen, c.KnownEndpoints, c.Discovery = gateway.config.Listen, gateway.config.KnownEndpoints, gateway.config.Discovery
	gateway.config = c
	gateway.agent.close()
	gateway.start()
	for range 60 {
		gateway.dial()
	}
	wantResponse(t, gateway.dial(), readRequest("a1"), 200, "answer 0")
	l, err := net.Listen("tcp", c.Discovery)
	if err != nil {
		t.Skip("another program took the port: ", err)
	}
	defer l.Close()
	agent, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	list := fmt.Sprintf(`{"revision":9,"complete":true,"members":[%s]}`, second.entryJSON("b1", 0, "in_service"))
	send(agent, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list))
	for i, began := 0, time.Now(); len(second.requests) == 0; i++ {
		if roundTrip(gateway.dial(), readRequest(fmt.Sprint("c", i))); time.Since(began) > 5*time.Second {
			t.Fatal("the gateway did not apply the list within 5 s")
		}
	}
}

// SIGHUP arrives while the configuration file is being written. The gateway must read an incomplete file again until it is
// complete; otherwise the reload would be lost.
func TestHalfWrittenConfiguration(t *testing.T) {
	file := t.TempDir() + "/c.json"
	os.WriteFile(file, []byte(`{"listen":`), 0o600)
	done := make(chan error, 1)
	var c *config.Config
	go func() {
		var err error
		c, err = loadWithRetry(file)
		done <- err
	}()
	os.WriteFile(file+"2", []byte(minimalConfig), 0o600)
	os.Rename(file+"2", file)
	if err := <-done; err != nil || c.Name != "n" {
		t.Error(err)
	}
}
