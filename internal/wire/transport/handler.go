package transport

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

// unlimited is longer than any process runs.
const unlimited = 10 * 365 * 24 * time.Hour

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// DisableSignalHandling keeps go-zero from closing servers and killing the process after a SIGTERM.
func DisableSignalHandling() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: unlimited, WaitTime: 2 * unlimited})
}

// NewHandler returns a handler that routes with go-zero's rest. go-zero's timeout, breaker, load shedder, connection
// limit and body limit are off, since each of them would answer a caller without an outcome.
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

// NewServer returns an HTTP server for h; it has no write timeout, since streams may be long.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
