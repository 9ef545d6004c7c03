package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"sequoiafork/internal/wire/standinapi"
)

const (
	controlPath       = "/control/"
	readHeaderTimeout = 10 * time.Second
	stopTimeout       = 2 * time.Second
)

// Handler serves the control endpoint and, with the faults in effect, protocol.
func (c *Control) Handler(protocol http.Handler) (http.Handler, error) {
	server, err := standinapi.NewServer(c)
	if err != nil {
		return nil, fmt.Errorf("control endpoint: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(controlPath, server)
	mux.Handle("/", c.injectFaults(protocol))
	return mux, nil
}

// Serve listens on addr, an IP:port, and serves until ctx ends. Once it is ready,
// it prints the address that it listens on to out.
func (c *Control) Serve(ctx context.Context, addr string, protocol http.Handler, out io.Writer) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("listen %q: want IP:port, such as 127.0.0.1:0: %w", addr, err)
	}
	handler, err := c.Handler(protocol)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen %s: %w", addr, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		stopped <- shutdown(server)
	})
	fmt.Fprintf(out, "listening %s\n", listener.Addr())
	err = server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		stop()
		return fmt.Errorf("serve %s: %w", addr, err)
	}
	return <-stopped
}

func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}
