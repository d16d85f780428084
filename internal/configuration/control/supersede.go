package control

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Errors of Supersede. A rejected document is returned as *configuration.Rejection.
var (
	// ErrUndecided means that the document may or may not come into force.
	ErrUndecided = errors.New("no majority of the control replicas answered in time, so the document may or may not come into force; send it again")
	// ErrUnavailable means that the document was not proposed.
	ErrUnavailable = errors.New("no majority of the control replicas answers and the document was not proposed; send it again later")
)

// SetShards changes the number of shards of a service in the document in force.
// Errors: ErrUndecided, which includes that another change was decided first.
func (l *Log) SetShards(ctx context.Context, service string, shards int, author string) error {
	reply, err := l.Apply(ctx, &configpb.ApplyRequest{
		ExpectedRevision: l.Revision(), RequestId: uuid.NewString(), Author: author,
		Change: &configpb.Change{Kind: &configpb.Change_SetShards{SetShards: &configpb.SetShards{Service: service, Shards: uint32(shards)}}},
	})
	if err != nil {
		return err
	}
	if reply.GetVerdict() != configpb.Verdict_VERDICT_ACCEPTED {
		return errors.WithMessage(ErrUndecided, reply.GetVerdict().String()+" "+reply.GetReason())
	}
	return nil
}

// Supersede puts a whole document in force if its version is higher than that of the one in force. It
// returns nil once a majority of the control replicas holds a document of this or a higher version, so a
// resend and a document that has been superseded in the meantime are accepted without effect.
// Errors: *configuration.Rejection, ErrUndecided, ErrUnavailable.
func (l *Log) Supersede(ctx context.Context, d *configpb.Document, author string) error {
	change := &configpb.Change{Kind: &configpb.Change_Supersede{Supersede: &configpb.Supersede{Document: d}}}
	if rejection := configuration.Validate(configuration.Empty(), change); rejection != nil {
		return rejection
	}
	select {
	case l.proposeSem <- struct{}{}:
		defer func() { <-l.proposeSem }()
	case <-ctx.Done():
		return ErrUnavailable
	}
	// All attempts use the same request id, so that the log applies the change at most once.
	id := uuid.NewString()
	for {
		if _, err := l.readChain(ctx); err != nil {
			return errors.WithMessage(ErrUnavailable, err.Error())
		}
		document := l.Document()
		if document.GetVersion() >= d.GetVersion() {
			return nil
		}
		reply := l.propose(ctx, &configpb.ApplyRequest{
			ExpectedRevision: document.GetRevision(), RequestId: id, Author: author, Change: change,
		})
		switch reply.GetVerdict() {
		case configpb.Verdict_VERDICT_ACCEPTED:
			return nil
		case configpb.Verdict_VERDICT_CONFLICT:
			// Another change was decided for the revision. Retry, since the version in force may still be lower.
		case configpb.Verdict_VERDICT_UNAVAILABLE:
			return ErrUnavailable
		default:
			return ErrUndecided
		}
		if ctx.Err() != nil {
			return ErrUndecided
		}
	}
}
