package front

import (
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"shallotreel.example/shallotreel/intake"
)

const (
	maxHeadBytes = 1 << 20        // that a configuration may allow
	maxIdleTime  = 24 * time.Hour // of a connection, the same; the door closes it earlier
	// pageTimeout is the time for a request or its answer on other addresses than that of callers.
	pageTimeout = 10 * time.Second
)

// servePage starts an HTTP server for others than callers at the address, which read no bodies.
func (front *Front) servePage(address netip.AddrPort, handler http.Handler) error {
	_, err := front.serve(address, front.addDoor(pageParts), pageTimeout, withoutBodies(handler))
	return err
}

// withoutBodies returns a handler that closes the connection of a request with a body, for which the server would wait before it answers.
func withoutBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength != 0 {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// serve starts an HTTP server behind the door at the address. Without a timeout the handler itself limits the time of a body and an answer.
func (front *Front) serve(address netip.AddrPort, door *intake.Door, timeout time.Duration, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: door.Handler(handler), ReadTimeout: timeout, WriteTimeout: timeout, IdleTimeout: maxIdleTime,
		MaxHeaderBytes: maxHeadBytes, ConnState: door.Follow, ConnContext: door.Context, ErrorLog: log.New(front.log.WriterLevel(logrus.WarnLevel), "", 0)}
	front.servers = append(front.servers, server)
	go func() {
		if err := server.Serve(door.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
			front.log.WithError(err).WithField("address", address.String()).Error("listener failed")
		}
	}()
	return server, nil
}
