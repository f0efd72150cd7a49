package transport

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

// never is longer than any process runs.
const never = 10 * 365 * 24 * time.Hour

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// DisableSignalHandling keeps go-zero from closing servers and from killing the process after a SIGTERM.
func DisableSignalHandling() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: never, WaitTime: 2 * never})
}

// NewHandler routes by go-zero's rest. Its time-out, breaker, shedder, connection and body
// limits are off: each would answer a caller without an outcome.
func NewHandler(name string, routes []rest.Route) (http.Handler, error) {
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{Name: name, Mode: service.ProMode},
		Host:        "127.0.0.1",
		Port:        1,
		Middlewares: rest.MiddlewaresConf{Recover: true},
	}
	conf.ServiceConf.Log.Stat = false
	server, err := rest.NewServer(conf, rest.WithNotFoundHandler(http.NotFoundHandler()))
	if err != nil {
		return nil, merry.Prependf(err, "%s handler", name)
	}
	server.AddRoutes(routes)
	handler, err := rest.NewServerless(server)
	if err != nil {
		return nil, merry.Prependf(err, "%s handler", name)
	}
	return http.HandlerFunc(handler.Serve), nil
}

// NewServer makes the HTTP server of a handler; it has no write time-out, since streams may be long.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
