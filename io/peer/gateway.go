package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"basilmill/core/gateway"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
	"basilmill/io/peer/peerpb"
	"basilmill/io/peer/peerpb/peerpbconnect"
)

const (
	// gatewayDialTimeout bounds the opening of a connection to a gateway, which is
	// usually in the same data centre and at most in the same deployment.
	gatewayDialTimeout = 250 * time.Millisecond
	// gatewayPingInterval and gatewayPingTimeout detect a connection on which
	// nothing arrives any more, on both sides. An unreachable host is noticed earlier
	// by the keep-alive of TCP. The host at the other end answers pings itself and may
	// have to catch up with its work first, for example after it has started together
	// with all others: it must not lose its connections then.
	gatewayPingInterval = 5 * time.Second
	gatewayPingTimeout  = 5 * time.Second
	// gatewayIdleRetention is how long an unused connection stays open.
	gatewayIdleRetention = 30 * time.Second
	// maxBatchBytes bounds a batch of statements, each of which has 1 MiB at most.
	maxBatchBytes = 16 << 20
	// maxConnectionBuffer and maxStreamBuffer bound what an HTTP/2 connection buffers before
	// a handler reads it. At a round trip of 16 ms a stream has 8 MB/s. Two streams that are
	// not read leave room for no other.
	maxConnectionBuffer = 256 << 10
	maxStreamBuffer     = 128 << 10
)

// GatewayPings configures an HTTP/2 connection between a host and its gateway.
func GatewayPings() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: gatewayPingInterval, PingTimeout: gatewayPingTimeout}
}

// HostHTTP2 configures the HTTP/2 connections of a listener for other hosts.
func HostHTTP2() *http.HTTP2Config {
	config := GatewayPings()
	config.MaxReceiveBufferPerConnection, config.MaxReceiveBufferPerStream = maxConnectionBuffer, maxStreamBuffer
	return config
}

// gatewayUnreachableError is the link.ErrNoConnection of a gateway to which no
// connection could be opened.
type gatewayUnreachableError struct{ cause error }

func (e gatewayUnreachableError) Error() string { return "gateway unreachable: " + e.cause.Error() }

func (e gatewayUnreachableError) Unwrap() error { return link.ErrNoConnection }

// GatewayClient opens streams to the gateways on other hosts. It keeps one HTTP/2
// connection to each.
type GatewayClient struct {
	http *http.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]peerpbconnect.GatewayClient
}

// NewGatewayClient returns a client that opens connections with connect.
func NewGatewayClient(connectTo func(context.Context, netip.AddrPort) (net.Conn, error)) *GatewayClient {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := dialGateway(ctx, connectTo, address)
			if err != nil {
				return nil, gatewayUnreachableError{err}
			}
			return conn, nil
		},
		IdleConnTimeout: gatewayIdleRetention,
		// Without a limit, each call that is made before the connection is open opens
		// another one.
		MaxConnsPerHost: 1,
		Protocols:       new(http.Protocols),
		HTTP2:           GatewayPings(),
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return &GatewayClient{http: &http.Client{Transport: transport}, clients: map[netip.AddrPort]peerpbconnect.GatewayClient{}}
}

func dialGateway(ctx context.Context, connectTo func(context.Context, netip.AddrPort) (net.Conn, error), address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, gatewayDialTimeout)
	defer cancel()
	return connectTo(ctx, target)
}

// Close closes the idle connections.
func (c *GatewayClient) Close() { c.http.CloseIdleConnections() }

// Open returns a stream to the gateway on a host.
func (c *GatewayClient) Open(info host.Info) gateway.Stream {
	ctx, cancel := context.WithCancel(context.Background())
	return &gatewayStream{stream: c.client(info.PeerAddress).Execute(ctx), cancel: cancel}
}

func (c *GatewayClient) client(address netip.AddrPort) peerpbconnect.GatewayClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = peerpbconnect.NewGatewayClient(c.http, "http://"+address.String(), withoutCompression())
		c.clients[address] = client
	}
	return client
}

// gatewayStream implements gateway.Stream.
type gatewayStream struct {
	stream *connect.BidiStreamForClient[peerpb.Batch, peerpb.BatchResult]
	cancel func()
}

// Send implements gateway.Stream.
func (s *gatewayStream) Send(b gateway.Batch) error { return s.stream.Send(encodeBatch(b)) }

// Receive implements gateway.Stream.
func (s *gatewayStream) Receive() (gateway.Result, error) {
	m, err := s.stream.Receive()
	if err != nil {
		var unreachable gatewayUnreachableError
		if errors.As(err, &unreachable) {
			return gateway.Result{}, unreachable
		}
		return gateway.Result{}, eris.Wrap(err, "receive from the gateway")
	}
	return decodeResult(m), nil
}

// CloseSend implements gateway.Stream.
func (s *gatewayStream) CloseSend() error { return s.stream.CloseRequest() }

// Close implements gateway.Stream. It also ends the request, because the transport
// does not see the end of the context while it waits for more of the request.
func (s *gatewayStream) Close() {
	s.cancel()
	// The stream is not used again, so an error does not matter.
	_ = s.stream.CloseRequest()
}

// Check returns an error unless the gateway on a host answers that it accepts batches. It
// requests a probe of no server, which needs no connection.
func (c *GatewayClient) Check(ctx context.Context, info host.Info) error {
	result, err := c.Probe(ctx, info, "")
	if err != nil {
		return err
	}
	if errors.Is(result.Err, gateway.ErrLeaving) {
		return result.Err
	}
	return nil
}

// Probe requests the result of a probe from the gateway on a host.
func (c *GatewayClient) Probe(ctx context.Context, info host.Info, server group.ServerID) (gateway.ProbeResult, error) {
	response, err := c.client(info.PeerAddress).Probe(ctx, connect.NewRequest(&peerpb.ProbeRequest{Server: string(server)}))
	if err != nil {
		return gateway.ProbeResult{}, eris.Wrap(err, "request a probe from the gateway")
	}
	return decodeProbeResult(response.Msg), nil
}

// GatewayHandler returns the path and the handler of a gateway's service.
func GatewayHandler(service *gateway.Service) (path string, handler http.Handler) {
	limits := connect.WithConditionalHandlerOptions(func(spec connect.Spec) []connect.HandlerOption {
		if spec.Procedure == peerpbconnect.GatewayExecuteProcedure {
			return []connect.HandlerOption{connect.WithReadMaxBytes(maxBatchBytes)}
		}
		return []connect.HandlerOption{connect.WithReadMaxBytes(maxRequestBytes)}
	})
	return peerpbconnect.NewGatewayHandler(gatewayServer{service}, limits)
}

// gatewayServer implements the Gateway service.
type gatewayServer struct{ service *gateway.Service }

// Execute implements the Gateway service.
func (s gatewayServer) Execute(ctx context.Context, stream *connect.BidiStream[peerpb.Batch, peerpb.BatchResult]) error {
	return s.service.Serve(ctx, servedStream{stream})
}

// Probe implements the Gateway service.
func (s gatewayServer) Probe(ctx context.Context, request *connect.Request[peerpb.ProbeRequest]) (*connect.Response[peerpb.ProbeResponse], error) {
	result := s.service.ServeProbe(ctx, group.ServerID(request.Msg.GetServer()))
	return connect.NewResponse(encodeProbeResult(result)), nil
}

// servedStream implements gateway.ServedStream.
type servedStream struct {
	stream *connect.BidiStream[peerpb.Batch, peerpb.BatchResult]
}

// Receive implements gateway.ServedStream.
func (s servedStream) Receive() (gateway.Batch, error) {
	m, err := s.stream.Receive()
	if err != nil {
		return gateway.Batch{}, err
	}
	return decodeBatch(m)
}

// Send implements gateway.ServedStream.
func (s servedStream) Send(r gateway.Result) error { return s.stream.Send(encodeResult(r)) }
