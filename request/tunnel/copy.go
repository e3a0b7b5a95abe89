package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
)

// copyBytes is the size of the buffer of each direction.
const copyBytes = 4 << 10

// copyBothWays copies until one side ends, and then ends the other: with a reset after an error, so that what
// was cut short does not look complete.
func (l *link) copyBothWays(fromRouter io.Reader) {
	var copying sync.WaitGroup
	copying.Go(func() { l.end(copyUntilEnd(l.runner, fromRouter)) })
	copying.Go(func() { l.end(l.copyFromRunner()) })
	copying.Wait()
}

// copyFromRunner copies what the runner sends. A router that reads frames is told if the runner ended the connection.
func (l *link) copyFromRunner() error {
	if !l.isFramed {
		return copyUntilEnd(l.router, l.runner)
	}
	frames := &frameWriter{to: l.router}
	if err := copyUntilEnd(frames, l.runner); err != nil {
		return err
	}
	return frames.writeEnd()
}

// end closes both connections. The first call decides how.
func (l *link) end(err error) {
	if err != nil {
		reset(l.router)
		reset(l.runner)
		return
	}
	_ = l.router.Close()
	_ = l.runner.Close()
}

// copyUntilEnd returns nil at the end of the input. It uses plain reads and writes, as each event of a stream has
// to be passed on at once.
func copyUntilEnd(to io.Writer, from io.Reader) error {
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// reset closes a connection so that its peer sees an error.
func reset(conn net.Conn) {
	if lingering, isTCP := conn.(interface{ SetLinger(seconds int) error }); isTCP {
		_ = lingering.SetLinger(0)
	}
	_ = conn.Close()
}
