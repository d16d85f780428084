package app_test

import (
	"context"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/app"
	"github.com/tarragonmux/tarragonmux/internal/settings"
)

// A stop that is requested during the start must not be reported as a failure; otherwise the supervisor
// counts a crash because of the exit code.
func TestStopDuringTheStartIsNoFailure(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Complete(&settings.Settings{
		ID: "control-1", DataCentre: "a", DataCentres: []string{"a"}, DataFolder: t.TempDir(),
		Fleet: settings.Listener{Address: "127.183.0.1:7000"}, Admin: settings.Listener{Address: "127.183.0.1:9090"},
		Control:         &settings.Control{},
		ControlReplicas: []settings.Replica{{ID: "control-1", Address: "127.183.0.1:7000"}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	stop()
	g.Expect(app.Run(ctx, s, io.Discard, app.Options{})).To(Succeed())
}
