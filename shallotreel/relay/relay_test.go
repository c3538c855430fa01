package relay

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"shallotreel.example/reel/member"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/peerrpc"
)

const left = 20 * time.Second // only a failing test takes as long

// handlerFunc is a Handler.
type handlerFunc func(ctx context.Context, request Request) Reply

func (handler handlerFunc) ServeRelayed(ctx context.Context, request Request) Reply {
	return handler(ctx, request)
}

// serve starts a helper with the handler, and returns its address.
func serve(t *testing.T, services ...peerrpc.Service) netip.AddrPort {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := netip.MustParseAddrPort(listener.Addr().String())
		listener.Close()
		server, err := peerrpc.Serve(address, services)
		if err != nil {
			continue // another process has taken the port
		}
		t.Cleanup(server.Close)
		return address
	}
}

func helperOf(handler handlerFunc) peerrpc.Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewServer(handler, log).Service()
}

// newClient returns a client whose helpers have the addresses. The first one is in its own data centre, so that it is asked first.
func newClient(addresses ...netip.AddrPort) *Client {
	self := member.Member{Name: "origin", DataCentre: "a"}
	members := []member.Member{self}
	for i, address := range addresses {
		dataCentre := []string{"a", "b"}[min(i, 1)]
		members = append(members, member.Member{Name: address.String(), DataCentre: dataCentre, Peer: address, State: member.Alive})
	}
	client := NewClient(self)
	client.SetMembers(members)
	return client
}

func answer(context.Context, Request) Reply { return Reply{Code: result.OK, Status: http.StatusOK} }

func assertOutcome(t *testing.T, outcome Outcome, answered, unknown bool, attempts int) {
	t.Helper()
	if outcome.Answered != answered || outcome.Unknown != unknown || len(outcome.Attempts) != attempts {
		t.Errorf("answered %v, unknown %v after %+v; want %v, %v after %d attempts", outcome.Answered, outcome.Unknown,
			outcome.Attempts, answered, unknown, attempts)
	}
}

func TestServe(t *testing.T) {
	t.Run("the request and its answer are passed on whole", func(t *testing.T) {
		var got Request
		address := serve(t, helperOf(func(_ context.Context, request Request) Reply {
			got = request
			return Reply{Code: result.Partial, Body: []byte("records"), Signatures: []string{"a", "b"}, Missing: 1, Version: 9}
		}))
		sent := Request{Origin: "origin", Method: http.MethodPost, URI: "/x?y=1", Header: http.Header{"Request-Id": {"one"}}, Body: []byte("body"),
			Left: left, GoalLeft: left, Version: 8, Spent: map[string]int{"desk": 1}}
		outcome := newClient(address).Serve(t.Context(), sent)
		assertOutcome(t, outcome, true, false, 1)
		if reply := outcome.Reply; string(reply.Body) != "records" || reply.Missing != 1 || len(reply.Signatures) != 2 || reply.Version != 9 {
			t.Errorf("reply %+v", reply)
		}
		if got.Method != sent.Method || got.URI != sent.URI || got.Header.Get("Request-Id") != "one" || string(got.Body) != "body" || got.Spent["desk"] != 1 {
			t.Errorf("request %+v", got)
		}
		if got.Left >= left || got.GoalLeft >= left {
			t.Errorf("%v and %v are left at the helper; the way is not taken off", got.Left, got.GoalLeft)
		}
	})
	t.Run("after a refusal the next helper is asked", func(t *testing.T) {
		refusing := serve(t, helperOf(func(context.Context, Request) Reply { return Reply{Refusal: RefusedNoPath} }))
		outcome := newClient(refusing, serve(t, helperOf(answer))).Serve(t.Context(), Request{Left: left})
		assertOutcome(t, outcome, true, false, 2)
	})
	t.Run("a helper that is not there, or does not know the service, has sent nothing", func(t *testing.T) {
		closed := netip.MustParseAddrPort("127.0.0.1:1")
		assertOutcome(t, newClient(closed, serve(t, helperOf(answer))).Serve(t.Context(), Request{Left: left}), true, false, 2)
		assertOutcome(t, newClient(serve(t), serve(t, helperOf(answer))).Serve(t.Context(), Request{Left: left}), true, false, 2)
	})
	t.Run("a helper that lost its path tells what it has spent", func(t *testing.T) {
		losing := serve(t, helperOf(func(context.Context, Request) Reply {
			return Reply{Code: result.Broken, PathLost: true, Spent: map[string]int{"desk": 2}, Repeatable: true}
		}))
		other := serve(t, helperOf(func(_ context.Context, request Request) Reply {
			if request.Spent["desk"] != 2 || !request.Counted {
				t.Errorf("the second helper gets %+v", request)
			}
			return Reply{Code: result.OK}
		}))
		outcome := newClient(losing, other).Serve(t.Context(), Request{Left: left})
		assertOutcome(t, outcome, true, false, 2)
		if outcome.Reply.Code != result.OK {
			t.Errorf("code %v, want OK", outcome.Reply.Code)
		}
	})
	t.Run("without a helper nothing is tried", func(t *testing.T) {
		assertOutcome(t, newClient().Serve(t.Context(), Request{Left: left}), false, false, 0)
	})
}

// TestHelperThatFails guards against a request that is asked again of another helper although the first one may have sent it, and against
// waiting for a helper that is gone.
func TestHelperThatFails(t *testing.T) {
	spare := func(t *testing.T) netip.AddrPort {
		return serve(t, helperOf(func(context.Context, Request) Reply {
			t.Error("the request is asked of another helper")
			return Reply{}
		}))
	}
	t.Run("silent", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never reads
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		client := newClient(netip.MustParseAddrPort(listener.Addr().String()), spare(t))
		assertOutcome(t, client.Serve(t.Context(), Request{Left: left}), false, true, 1)
	})
	t.Run("silent for a while, with a request that must not be repeated", func(t *testing.T) {
		resume := make(chan struct{})
		address := serve(t, helperOf(func(context.Context, Request) Reply {
			<-resume
			return Reply{Code: result.OK}
		}))
		link, err := openLink(address)
		if err != nil {
			t.Fatal(err)
		}
		link.setSilent(true)
		if _, err := link.serve(t.Context(), Request{Left: left}); !errors.Is(err, ErrNotSent) {
			t.Errorf("a new request to a silent helper ends with %v, want ErrNotSent", err)
		}
		link.setSilent(false)
		go func() {
			for !link.isBusy() {
				time.Sleep(time.Millisecond)
			}
			link.setSilent(true)
			close(resume)
		}()
		if reply, err := link.serve(t.Context(), Request{Left: left, Once: true}); err != nil || reply.Code != result.OK {
			t.Errorf("reply %+v, error %v; want the answer of the helper", reply, err)
		}
	})
	t.Run("killed", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			if conn, err := listener.Accept(); err == nil {
				_, _ = conn.Read(make([]byte, 10))
				conn.Close()
			}
		}()
		client := newClient(netip.MustParseAddrPort(listener.Addr().String()), spare(t))
		assertOutcome(t, client.Serve(t.Context(), Request{Left: left}), false, true, 1)
	})
	t.Run("unexpected error", func(t *testing.T) {
		address := serve(t, helperOf(func(context.Context, Request) Reply { panic("unexpected") }))
		outcome := newClient(address, spare(t)).Serve(t.Context(), Request{Left: left})
		assertOutcome(t, outcome, true, false, 1)
		if outcome.Reply.Code != result.Broken {
			t.Errorf("code %v, want Broken", outcome.Reply.Code)
		}
	})
	t.Run("malformed message", func(t *testing.T) {
		address := serve(t, helperOf(answer))
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, strings.Repeat("\xff\x00nonsense", 100)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, conn) // until the helper closes the connection
		assertOutcome(t, newClient(address).Serve(t.Context(), Request{Left: left}), true, false, 1)
	})
}

// TestCallerLeaves guards against work that goes on at a helper, two hops away, after the caller has gone or its instance has ended.
func TestCallerLeaves(t *testing.T) {
	wait := func(began, ended chan<- struct{}) handlerFunc {
		return func(ctx context.Context, _ Request) Reply {
			began <- struct{}{}
			<-ctx.Done()
			ended <- struct{}{}
			return Reply{Code: result.Canceled}
		}
	}
	t.Run("the caller disconnects", func(t *testing.T) {
		began, ended := make(chan struct{}, 1), make(chan struct{}, 1)
		client := newClient(serve(t, helperOf(wait(began, ended))))
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-began
			cancel()
		}()
		client.Serve(ctx, Request{Left: left})
		<-ended
	})
	t.Run("the instance ends", func(t *testing.T) {
		began, ended := make(chan struct{}, 1), make(chan struct{}, 1)
		address := serve(t, helperOf(wait(began, ended)))
		link, err := openLink(address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			<-began
			link.lose()
		}()
		if _, err := link.serve(t.Context(), Request{Left: left}); !errors.Is(err, ErrLinkLost) {
			t.Errorf("error %v, want ErrLinkLost", err)
		}
		<-ended
	})
	t.Run("a cancellation overtakes its request", func(t *testing.T) {
		service := helperOf(func(context.Context, Request) Reply {
			t.Error("the request is served")
			return Reply{}
		}).New(t.Context()).(*Service)
		_ = service.Cancel(7, nil) // the error is always nil
		var reply Reply
		if err := service.Serve(Request{Call: 7}, &reply); err != nil || reply.Code != result.Canceled {
			t.Errorf("reply %+v, error %v", reply, err)
		}
	})
}

// TestSpendingOfHelpers guards against a request that must not be repeated and goes on at the next helper after one that lost its path has
// sent it, and against helpers that learn only a part of what was spent before.
func TestSpendingOfHelpers(t *testing.T) {
	for _, test := range []struct {
		name   string
		once   bool
		before map[string]int
		reply  Reply // of the first helper
		want   map[string]int
		asked  bool // whether the next helper is asked
	}{
		{"it may be repeated", false, nil, Reply{Repeatable: true, Spent: map[string]int{"desk": 1}}, map[string]int{"desk": 1}, true},
		{"the helper does not know a service of the origin", false, map[string]int{"former-desk": 1},
			Reply{Repeatable: true, Spent: map[string]int{"desk": 1}}, map[string]int{"desk": 1, "former-desk": 1}, true},
		{"it must not be repeated and may have run", true, nil, Reply{Spent: map[string]int{"desk": 1}}, map[string]int{"desk": 1}, false},
		{"it must not be repeated and did not run", true, nil, Reply{}, nil, true},
		{"only the helper knows that it must not be repeated", false, nil, Reply{Spent: map[string]int{"desk": 1}}, map[string]int{"desk": 1}, false},
		{"the helper is of an earlier version, which does not say", false, map[string]int{"desk": 1}, Reply{}, map[string]int{"desk": 1}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.reply.Code, test.reply.PathLost = result.Broken, true
			losing := serve(t, helperOf(func(context.Context, Request) Reply { return test.reply }))
			asked := false
			next := serve(t, helperOf(func(_ context.Context, request Request) Reply {
				asked = true
				if !maps.Equal(request.Spent, test.want) {
					t.Errorf("the next helper learns of %v, want %v", request.Spent, test.want)
				}
				return Reply{Code: result.OK, Spent: request.Spent}
			}))
			outcome := newClient(losing, next).Serve(t.Context(), Request{Left: left, Once: test.once, Spent: test.before})
			if asked != test.asked {
				t.Errorf("the next helper is asked: %v, want %v", asked, test.asked)
			}
			if !maps.Equal(outcome.Spent, test.want) {
				t.Errorf("the origin learns of %v, want %v", outcome.Spent, test.want)
			}
		})
	}
}
