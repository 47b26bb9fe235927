package peer

import (
	"context"

	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// UnaryMethod returns the gRPC descriptor of a unary method whose handler is handle.
func UnaryMethod[Server, Request, Response any](
	service, name string, handle func(Server, context.Context, *Request) (*Response, error),
) grpc.MethodDesc {
	call := func(server any, ctx context.Context, decode func(any) error, intercept grpc.UnaryServerInterceptor) (any, error) {
		request := new(Request)
		if err := decode(request); err != nil {
			return nil, err
		}
		handler := func(ctx context.Context, r any) (any, error) { return handle(server.(Server), ctx, r.(*Request)) }
		if intercept == nil {
			return handler(ctx, request)
		}
		info := &grpc.UnaryServerInfo{Server: server, FullMethod: "/" + service + "/" + name}
		return intercept(ctx, request, info, handler)
	}
	return grpc.MethodDesc{MethodName: name, Handler: call}
}

// CallEntry invokes a unary method of another entry on a connection of the pool.
func CallEntry[Response, Request any](
	ctx context.Context, pool *Pool, to eelgrassbeam.Entry, service, name string, request *Request,
) (Response, error) {
	var none Response
	conn, err := pool.Conn(to.PeerAddress)
	if err != nil {
		return none, err
	}
	response, err := Call[Response](ctx, conn, service, name, request)
	if err != nil {
		return none, err
	}
	return *response, nil
}

// Call invokes a unary method described by UnaryMethod. An error is a gRPC status error.
func Call[Response, Request any](
	ctx context.Context, conn grpc.ClientConnInterface, service, name string, request *Request, options ...grpc.CallOption,
) (*Response, error) {
	response := new(Response)
	options = append(options, grpc.CallContentSubtype(CodecName))
	if err := conn.Invoke(ctx, "/"+service+"/"+name, request, response, options...); err != nil {
		return nil, err
	}
	return response, nil
}
