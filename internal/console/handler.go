package console

import (
	"context"
	"net/http"
	"time"
)

// reply is the response to a call that did not fail.
type reply struct {
	status int
	body   []byte
}

// call carries out one of the built-in calls.
type call func(ctx context.Context, instance Instance) (reply, error)

// calls are the built-in ones, by their patterns.
var calls = map[string]call{
	"GET /ready": func(ctx context.Context, instance Instance) (reply, error) {
		ready, err := instance.Ready(ctx)
		if err == nil && !ready {
			return reply{http.StatusServiceUnavailable, []byte("not ready\n")}, nil
		}
		return reply{http.StatusOK, []byte("ready\n")}, err
	},
	"GET /metrics": func(ctx context.Context, instance Instance) (reply, error) {
		metrics, err := instance.AppendMetrics(ctx, nil)
		return reply{http.StatusOK, metrics}, err
	},
	"POST /drain": func(ctx context.Context, instance Instance) (reply, error) {
		return reply{http.StatusOK, []byte("deregistered, health checks fail from now on\n")}, instance.Deregister(ctx)
	},
	"POST /undrain": func(ctx context.Context, instance Instance) (reply, error) {
		return reply{http.StatusOK, []byte("registered, health checks succeed while the server is healthy\n")}, instance.Reregister(ctx)
	},
}

// newHandler returns the handler of all calls. Built-in ones may take that long.
func newHandler(instance Instance, timeout time.Duration, pages []Page) http.Handler {
	mux := http.NewServeMux()
	for pattern, do := range calls {
		mux.HandleFunc(pattern, func(response http.ResponseWriter, request *http.Request) {
			ctx, cancel := context.WithTimeout(request.Context(), timeout)
			defer cancel()
			result, err := do(ctx, instance)
			if err != nil {
				result = reply{http.StatusServiceUnavailable, []byte(err.Error() + "\n")}
			}
			response.Header().Set("Content-Type", "text/plain; charset=utf-8")
			response.WriteHeader(result.status)
			_, _ = response.Write(result.body) // a client that is gone needs no response
		})
	}
	for _, page := range pages {
		mux.HandleFunc(page.Pattern, func(response http.ResponseWriter, _ *http.Request) {
			response.Header().Set("Content-Type", page.Type)
			_, _ = response.Write(page.Body()) // as above
		})
	}
	return mux
}
