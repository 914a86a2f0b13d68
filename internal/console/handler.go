package console

import (
	"context"
	"net/http"
	"time"
)

// reply is the response of an endpoint that did not fail.
type reply struct {
	status int
	body   []byte
}

// endpoint handles a request to one of the built-in endpoints. The message of its error becomes the response.
type endpoint func(ctx context.Context, instance Instance) (reply, error)

// endpoints holds the built-in endpoints by their patterns.
var endpoints = map[string]endpoint{
	"GET /ready":    ready,
	"GET /metrics":  metrics,
	"POST /drain":   deregister,
	"POST /undrain": reregister,
}

func ready(ctx context.Context, instance Instance) (reply, error) {
	ready, err := instance.Ready(ctx)
	if err == nil && !ready {
		return reply{http.StatusServiceUnavailable, []byte("not ready\n")}, nil
	}
	return reply{http.StatusOK, []byte("ready\n")}, err //nolint:wrapcheck // its message is the response
}

func metrics(ctx context.Context, instance Instance) (reply, error) {
	lines, err := instance.AppendMetrics(ctx, nil)
	return reply{http.StatusOK, lines}, err //nolint:wrapcheck // its message is the response
}

func deregister(ctx context.Context, instance Instance) (reply, error) {
	err := instance.Deregister(ctx)
	//nolint:wrapcheck // its message is the response
	return reply{http.StatusOK, []byte("deregistered, health checks fail from now on\n")}, err
}

func reregister(ctx context.Context, instance Instance) (reply, error) {
	err := instance.Reregister(ctx)
	//nolint:wrapcheck // its message is the response
	return reply{http.StatusOK, []byte("registered, health checks succeed while the server is healthy\n")}, err
}

// newHandler returns the handler of the built-in endpoints and the pages. A request to a built-in endpoint may take up to
// timeout.
func newHandler(instance Instance, timeout time.Duration, pages []Page) http.Handler {
	mux := http.NewServeMux()
	for pattern, endpoint := range endpoints {
		mux.HandleFunc(pattern, endpoint.handler(instance, timeout))
	}
	for _, page := range pages {
		mux.HandleFunc(page.Pattern, page.handle)
	}
	return mux
}

// handler returns the HTTP handler of a built-in endpoint. A request may take up to timeout.
func (e endpoint) handler(instance Instance, timeout time.Duration) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithTimeout(request.Context(), timeout)
		defer cancel()
		result, err := e(ctx, instance)
		if err != nil {
			result = reply{http.StatusServiceUnavailable, []byte(err.Error() + "\n")}
		}
		response.Header().Set("Content-Type", "text/plain; charset=utf-8")
		response.WriteHeader(result.status)
		_, _ = response.Write(result.body) // an error means that the client has disconnected
	}
}

// handle responds with the page's body.
func (p Page) handle(response http.ResponseWriter, _ *http.Request) {
	response.Header().Set("Content-Type", p.Type)
	_, _ = response.Write(p.Body()) // an error means that the client has disconnected
}
