package duty

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// tokenEpochShift is the number of bits of a token below those of its epoch.
const tokenEpochShift = 32

// ProvenVersion reads the version of the configuration that the latest holder of the duties knew
// to be the newest, 0 if it knew none, and the epoch of the holder's token. known is false if the
// log has no ledger.
func ProvenVersion(ctx context.Context, log topic.Keyed) (version, epoch int64, known bool, err error) {
	entries, _, err := log.Newest(ctx, ledgerTopic)
	if err != nil {
		return 0, 0, false, err
	}
	for _, entry := range entries {
		if entry.Key != ledgerKey {
			continue
		}
		var ledger struct {
			Token         int64 `json:"token"`
			ConfigVersion int64 `json:"config"`
		}
		if err := json.Unmarshal(entry.Value, &ledger); err != nil {
			return 0, 0, true, eris.Wrap(ErrLedger, err.Error())
		}
		return ledger.ConfigVersion, ledger.Token >> tokenEpochShift, true, nil
	}
	return 0, 0, false, nil
}
