package downstream

import "weirhaven/internal/httpgateway/metrics"

// requestMemory charges what a connection holds for its requests to its account. While it waits for memory, the connection has no
// turn. It implements http1.Memory.
type requestMemory struct{ conn *conn }

// Charge reserves n bytes; see membudget.Account.Charge.
func (m requestMemory) Charge(n int) error {
	c := m.conn
	if c.memory.TryCharge(n) {
		return nil
	}
	c.endTurn()
	defer c.takeTurn()
	return c.memory.Charge(n)
}

// Release returns n bytes.
func (m requestMemory) Release(n int) { m.conn.memory.Release(n) }

// requestOverhead is the number of bytes that a request holds in the engine and the scheduler beside its head and body.
const requestOverhead = 1 << 10

// charge charges n bytes to the present request.
func (c *conn) charge(n int) error {
	if err := (requestMemory{c}).Charge(n); err != nil {
		return err
	}
	c.charged += n
	return nil
}

// releaseRequest releases what the present request holds.
func (c *conn) releaseRequest() {
	c.memory.Release(c.charged)
	c.charged = 0
}

// dropInput releases all input of a connection that serves no further request.
func (c *conn) dropInput() {
	c.reader.Close()
	c.pipeline.drop()
	c.releaseRequest()
}

// gaveWay reports whether the connection was told to give up the memory of its incomplete request.
func (c *conn) gaveWay() bool { return c.retiredFor(metrics.MemoryLimit) }
