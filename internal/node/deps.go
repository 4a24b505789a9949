package node

// Keeps the libraries of the design in go.mod until their packages land.
import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/labstack/echo/v4"
	_ "github.com/leanovate/gopter"
	_ "github.com/oklog/run"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "gopkg.in/ini.v1"
)
