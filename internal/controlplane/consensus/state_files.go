package consensus

import (
	"bytes"
	"encoding/json"

	"curlewwalk/internal/config"
)

// promiseFile is the content of a promise file: the promises of the acceptor and the known disk
// of each member ID.
type promiseFile struct {
	DiskID      uint64               `json:"id"`
	Incarnation uint64               `json:"incarnation"`
	Phase       Phase                `json:"phase"`
	Promised    uint64               `json:"promised"`
	Members     map[int]MemberRecord `json:"seats"`
	// MemberID, StaticSize, and InitialMembers are missing in the files of earlier versions.
	// For such a file, decodePromise takes the member ID and the static size from the settings.
	MemberID       *int            `json:"slot,omitempty"`
	StaticSize     int             `json:"founded,omitempty"`
	InitialMembers []config.Member `json:"founders,omitempty"`
}

// stateHeader is the first line of a control state file. The configuration follows, byte for
// byte as in the control state.
type stateHeader struct {
	Position
	ConfigurationRevision uint64   `json:"desired_stamp"`
	EvacuatedByOperator   []string `json:"emptied"`

	CalendarRevision uint64               `json:"calendar_stamp,omitempty"`
	Calendar         []byte               `json:"calendar,omitempty"`
	Closures         []config.ZoneClosure `json:"closures,omitempty"`

	Generation          uint64                      `json:"edition,omitempty"`
	Submitted           []byte                      `json:"sent,omitempty"`
	AcceptedGenerations []config.AcceptedGeneration `json:"taken,omitempty"`

	Evacuations       []config.Evacuation `json:"evacuations,omitempty"`
	CompactedRevision uint64              `json:"forgotten,omitempty"`

	Members         []config.Member `json:"slots,omitempty"`
	PreviousMembers []config.Member `json:"formerly,omitempty"`
	HighestMemberID int             `json:"top,omitempty"`

	Departed []string `json:"departed,omitempty"`
}

// decodePromise decodes a promise file. Fields that are missing in the file of an earlier
// version are taken from the settings.
func decodePromise(data []byte, bootstrap Bootstrap) (Acceptor, error) {
	var file promiseFile
	if err := json.Unmarshal(data, &file); err != nil {
		return Acceptor{}, err
	}
	acceptor := Acceptor{
		Self:       Sender{MemberID: bootstrap.MemberID, DiskID: file.DiskID, Incarnation: file.Incarnation},
		StaticSize: bootstrap.StaticSize, Phase: file.Phase, Promised: file.Promised, MemberRecords: file.Members,
	}
	if file.MemberID != nil {
		acceptor.Self.MemberID, acceptor.StaticSize, acceptor.InitialMembers = *file.MemberID, file.StaticSize, file.InitialMembers
	}
	if acceptor.MemberRecords == nil {
		acceptor.MemberRecords = map[int]MemberRecord{}
	}
	return acceptor, nil
}

// encodePromise returns the content of a promise file.
func (a Acceptor) encodePromise() ([]byte, error) {
	return json.Marshal(promiseFile{
		DiskID: a.Self.DiskID, Incarnation: a.Self.Incarnation, Phase: a.Phase, Promised: a.Promised, Members: a.MemberRecords,
		MemberID: &a.Self.MemberID, StaticSize: a.StaticSize, InitialMembers: a.InitialMembers,
	})
}

// withEncodedState returns the acceptor with the control state decoded from a file.
func (a Acceptor) withEncodedState(data []byte) (Acceptor, error) {
	head, body, _ := bytes.Cut(data, []byte("\n"))
	var header stateHeader
	if err := json.Unmarshal(head, &header); err != nil {
		return a, err
	}
	a.Position = header.Position
	a.State = config.ControlState{
		Revision: header.Revision, ConfigurationRevision: header.ConfigurationRevision, Configuration: body, EvacuatedByOperator: header.EvacuatedByOperator,
		CalendarRevision: header.CalendarRevision, Calendar: header.Calendar, Closures: header.Closures,
		Generation: header.Generation, Submitted: header.Submitted, AcceptedGenerations: header.AcceptedGenerations,
		Evacuations: header.Evacuations, CompactedRevision: header.CompactedRevision,
		Members: header.Members, PreviousMembers: header.PreviousMembers, HighestMemberID: header.HighestMemberID,
		Departed: header.Departed,
	}
	a.Promised = max(a.Promised, header.Term)
	return a, nil
}

// encodeState returns the content of a control state file.
func (a Acceptor) encodeState() ([]byte, error) {
	state := a.State
	head, err := json.Marshal(stateHeader{
		Position: a.Position, ConfigurationRevision: state.ConfigurationRevision, EvacuatedByOperator: state.EvacuatedByOperator,
		CalendarRevision: state.CalendarRevision, Calendar: state.Calendar, Closures: state.Closures,
		Generation: state.Generation, Submitted: state.Submitted, AcceptedGenerations: state.AcceptedGenerations,
		Evacuations: state.Evacuations, CompactedRevision: state.CompactedRevision,
		Members: state.Members, PreviousMembers: state.PreviousMembers, HighestMemberID: state.HighestMemberID,
		Departed: state.Departed,
	})
	if err != nil {
		return nil, err
	}
	return append(append(head, '\n'), state.Configuration...), nil
}
