package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// The kinds of file. (DESIGN 6.1)
const (
	kindPromise = "oath"
	kindState   = "word"
)

const (
	keepPromises = 3
	keepStates   = 16 // old words stay for operators to look at (ours)
)

// StateStore keeps an acceptor in a vault.
type StateStore struct {
	Store           *storage.Store
	promiseSequence uint64
}

// promiseFile is the small part of an acceptor: what it promised and who sits where.
type promiseFile struct {
	DiskID      uint64               `json:"id"`
	Incarnation uint64               `json:"incarnation"`
	Phase       Phase                `json:"phase"`
	Promised    uint64               `json:"promised"`
	Members     map[int]MemberRecord `json:"seats"`
	// MemberID, Founded and Founders are not in the files of older versions: their
	// settings say them.
	MemberID       *int            `json:"slot,omitempty"`
	StaticSize     int             `json:"founded,omitempty"`
	InitialMembers []config.Member `json:"founders,omitempty"`
}

// stateHeader is the first line of a word's file; the operator's bytes follow.
type stateHeader struct {
	Position
	ConfigurationRevision uint64   `json:"desired_stamp"`
	Emptied               []string `json:"emptied"`

	CalendarRevision uint64               `json:"calendar_stamp,omitempty"`
	Calendar         []byte               `json:"calendar,omitempty"`
	Closures         []config.ZoneClosure `json:"closures,omitempty"`

	Generation uint64                      `json:"edition,omitempty"`
	Sent       []byte                      `json:"sent,omitempty"`
	Taken      []config.AcceptedGeneration `json:"taken,omitempty"`

	Evacuations []config.Evacuation `json:"evacuations,omitempty"`
	Forgotten   uint64              `json:"forgotten,omitempty"`

	Slots    []config.Member `json:"slots,omitempty"`
	Formerly []config.Member `json:"formerly,omitempty"`
	Top      int             `json:"top,omitempty"`
}

// Load reads an acceptor. One whose newest files can't be read whole has lost what
// it promised: its files are set aside and it must take its seat anew.
func (s *StateStore) Load(bootstrap Bootstrap) (Acceptor, error) {
	acceptor := bootstrap.InitialState(rand.Uint64() | 1)
	promiseName, promiseData, promiseCorrupt, err := s.Store.Latest(kindPromise)
	if err != nil {
		return acceptor, err
	}
	stateName, stateData, stateCorrupt, err := s.Store.Latest(kindState)
	if err != nil {
		return acceptor, err
	}
	if promiseName == "" && stateName == "" {
		// An empty disk has its identity, or a founder's seat, before it says anything.
		return acceptor, s.Save(acceptor)
	}
	var promise promiseFile
	if promiseName == "" || promiseCorrupt || stateCorrupt || json.Unmarshal(promiseData, &promise) != nil {
		return s.resetIdentity(bootstrap, promiseName)
	}
	fmt.Sscanf(promiseName, "%d", &s.promiseSequence)
	acceptor = Acceptor{Self: Sender{MemberID: bootstrap.MemberID, DiskID: promise.DiskID, Incarnation: promise.Incarnation}, StaticSize: bootstrap.StaticSize, Phase: promise.Phase, Promised: promise.Promised, Members: promise.Members}
	if promise.MemberID != nil {
		acceptor.Self.MemberID, acceptor.StaticSize, acceptor.InitialMembers = *promise.MemberID, promise.StaticSize, promise.InitialMembers
	}
	if acceptor.Members == nil {
		acceptor.Members = map[int]MemberRecord{}
	}
	if stateName != "" && acceptor.Phase == PhaseLost {
		return acceptor, s.Store.Quarantine(kindState, 0) // lose ended before that
	}
	if stateName != "" && (acceptor.Phase == PhaseEstablished || acceptor.Phase == PhaseJoining) {
		head, body, _ := bytes.Cut(stateData, []byte("\n"))
		var header stateHeader
		if json.Unmarshal(head, &header) != nil {
			return s.resetIdentity(bootstrap, promiseName)
		}
		acceptor.Position = header.Position
		acceptor.State = config.ControlState{
			Revision: header.Revision, ConfigurationRevision: header.ConfigurationRevision, EvacuatedByOperator: header.Emptied, Configuration: body,
			CalendarRevision: header.CalendarRevision, Calendar: header.Calendar, Closures: header.Closures,
			Generation: header.Generation, Submitted: header.Sent, AcceptedGenerations: header.Taken,
			Evacuations: header.Evacuations, CompactedRevision: header.Forgotten,
			Members: header.Slots, PreviousMembers: header.Formerly, HighestMemberID: header.Top,
		}
		acceptor.Promised = max(acceptor.Promised, header.Term)
	}
	return acceptor, nil
}

// resetIdentity takes a new identity, and sets aside what was before. The identity is on disk before
// anything else changes: wherever this ends, what is found next is as it was, or has the
// new identity, and is never an empty disk, which a founder's would be born on once more.
func (s *StateStore) resetIdentity(bootstrap Bootstrap, latestPromise string) (Acceptor, error) {
	fmt.Sscanf(latestPromise, "%d", &s.promiseSequence)
	bootstrap.NewCluster = false
	acceptor := bootstrap.InitialState(rand.Uint64() | 1)
	if acceptor.Phase == PhaseEmpty {
		acceptor.Phase = PhaseLost
	}
	if err := s.Save(acceptor); err != nil {
		return acceptor, err
	}
	if err := s.Store.Quarantine(kindPromise, 1); err != nil {
		return acceptor, err
	}
	return acceptor, s.Store.Quarantine(kindState, 0)
}

// Save puts the dirty parts of an acceptor on disk: the word first, since an oath
// says that what it stands for is there.
func (s *StateStore) Save(acceptor Acceptor) error {
	if acceptor.StateDirty {
		head, err := json.Marshal(stateHeader{
			Position: acceptor.Position, ConfigurationRevision: acceptor.State.ConfigurationRevision, Emptied: acceptor.State.EvacuatedByOperator,
			CalendarRevision: acceptor.State.CalendarRevision, Calendar: acceptor.State.Calendar, Closures: acceptor.State.Closures,
			Generation: acceptor.State.Generation, Sent: acceptor.State.Submitted, Taken: acceptor.State.AcceptedGenerations,
			Evacuations: acceptor.State.Evacuations, Forgotten: acceptor.State.CompactedRevision,
			Slots: acceptor.State.Members, Formerly: acceptor.State.PreviousMembers, Top: acceptor.State.HighestMemberID,
		})
		if err != nil {
			return eris.Wrap(err, "word")
		}
		name := fmt.Sprintf("%020d.%020d", acceptor.Position.Term, acceptor.Position.Revision)
		if err := s.Store.Save(kindState, name, append(append(head, '\n'), acceptor.State.Configuration...)); err != nil {
			return err
		}
		if err := s.Store.Prune(kindState, keepStates); err != nil {
			return err
		}
	}
	if acceptor.PromiseDirty {
		data, err := json.Marshal(promiseFile{
			DiskID: acceptor.Self.DiskID, Incarnation: acceptor.Self.Incarnation, Phase: acceptor.Phase, Promised: acceptor.Promised, Members: acceptor.Members,
			MemberID: &acceptor.Self.MemberID, StaticSize: acceptor.StaticSize, InitialMembers: acceptor.InitialMembers,
		})
		if err != nil {
			return eris.Wrap(err, "oath")
		}
		s.promiseSequence++
		if err := s.Store.Save(kindPromise, fmt.Sprintf("%020d", s.promiseSequence), data); err != nil {
			return err
		}
		return s.Store.Prune(kindPromise, keepPromises)
	}
	return nil
}
