package golden

import (
	"path/filepath"
	"strings"
)

// addedFields lists the fields that were added after the first golden files were written, by type and
// key. An encoding without them must still equal the first golden file, so that processes and disks of
// that version are understood. The encoding with them is held by a second golden file.
var addedFields = map[string]bool{
	"config.ControlState.dp":         true,
	"config.ControlState.rz":         true,
	"consensus.Command.dp":           true,
	"consensus.stateHeader.departed": true,
}

// secondEdition returns the name of the golden file of an encoding with the added fields.
func secondEdition(name string) string {
	extension := filepath.Ext(name)
	return strings.TrimSuffix(name, extension) + ".2" + extension
}
