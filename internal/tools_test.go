// Package internal_test keeps the modules that the build-up uses in go.mod.
package internal_test

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega/gexec"
	_ "github.com/prometheus/client_golang/prometheus/collectors"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "go.uber.org/fx"
	_ "go.uber.org/fx/fxevent"
	_ "go.uber.org/fx/fxtest"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/semaphore"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc/drpcserver"
)
