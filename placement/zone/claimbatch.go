package zone

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// MaxClaimOperations is the maximum number of operations in a ClaimBatchCommand.
const MaxClaimOperations = 4096

// ClaimBatchCommand combines several claim operations in one log entry. They are
// applied in order, each with its own result in Result.Batch.
type ClaimBatchCommand struct {
	// At is the proposing leader's clock.
	At         time.Time
	Operations []ClaimOperation
}

// ClaimOperation is one operation of a batch. Exactly one field is set.
type ClaimOperation struct {
	//lint:ignore U1000 The codec reads its tag.
	_msgpack struct{} `msgpack:",as_array"`

	Begin  *ClaimBeginCommand
	Finish *ClaimFinishCommand
}

// check rejects an operation without exactly one field set.
func (o ClaimOperation) check() *structs.Error {
	if (o.Begin == nil) != (o.Finish == nil) {
		return nil
	}
	return structs.NewError(structs.ErrorInvalid, "a claim operation must have exactly one field set",
		"Send one operation for each change of a claim.")
}

func (t *claimTable) batch(command *ClaimBatchCommand) Result {
	if len(command.Operations) > MaxClaimOperations {
		return rejected(structs.ErrorInvalid, "the batch has too many claim operations", "Send fewer at once.")
	}
	results := make([]Result, len(command.Operations))
	for i, operation := range command.Operations {
		results[i] = t.applyOperation(operation, command.At)
	}
	return Result{Batch: results}
}

func (t *claimTable) applyOperation(operation ClaimOperation, at time.Time) Result {
	if problem := operation.check(); problem != nil {
		return Result{Error: problem}
	}
	if operation.Begin != nil {
		return t.begin(operation.Begin, at)
	}
	return t.finish(operation.Finish)
}
