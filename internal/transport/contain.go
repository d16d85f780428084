package transport

import (
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

// ErrHandlerPanicked means that the handler of a call panicked. The call may have had an effect.
var ErrHandlerPanicked = errors.New("the peer failed while it handled the call; look for 'a call panicked' in its log and report it")

// containedHandler ends a call whose handler panics with an error, so that one malformed message does not end
// the process with all its other calls.
type containedHandler struct {
	next   drpc.Handler
	logger *log.Logger
}

// HandleRPC implements drpc.Handler.
func (h containedHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			h.logger.Error("a call panicked", "rpc", rpc, "panic", v, "stack", string(debug.Stack()))
			invariant.Check(false, "transport.call-panicked", "%s: %v", rpc, v)
			err = ErrHandlerPanicked
		}
	}()
	return h.next.HandleRPC(stream, rpc)
}
