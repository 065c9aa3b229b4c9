package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net"
	"net/rpc"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/pacing"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/quota"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// goldenMessages returns messages and records of build a218eec by name, as that build wrote them.
func goldenMessages(t *testing.T) map[string][]byte {
	t.Helper()
	file, err := os.ReadFile("testdata/messages-a218eec.txt")
	if err != nil {
		t.Fatal(err)
	}
	messages := make(map[string][]byte)
	for _, line := range strings.Split(strings.TrimSpace(string(file)), "\n") {
		cut := strings.LastIndex(line, " ")
		if messages[line[:cut]], err = hex.DecodeString(line[cut+1:]); err != nil {
			t.Fatal(err)
		}
	}
	return messages
}

// readFrame reads one message between hosts.
func readFrame(t *testing.T, c net.Conn) []byte {
	t.Helper()
	reader := bufio.NewReader(c)
	var length [4]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		t.Fatal(err)
	}
	frame := make([]byte, binary.BigEndian.Uint32(length[:]))
	if _, err := io.ReadFull(reader, frame); err != nil {
		t.Fatal(err)
	}
	return frame
}

// frameHeader precedes the body of a message between hosts.
type frameHeader struct {
	_        struct{} `cbor:",toarray"`
	Method   string
	Sequence uint64
	Error    string
}

// decodeFrame decodes a message between hosts without its length.
func decodeFrame(t *testing.T, frame []byte, body any) frameHeader {
	t.Helper()
	var header frameHeader
	rest, err := cbor.UnmarshalFirst(frame, &header)
	if err == nil && header.Error == "" {
		err = cbor.Unmarshal(rest, body)
	}
	if err != nil {
		t.Fatal(err)
	}
	return header
}

// The messages of build a218eec that have more fields now, with the fields of that build.
type (
	earlierBeginArgs struct {
		Account, Program, Session, Turn, Parent string
		Budget, MaxTokens                       int
		RetentionMS, WaitMS                     int64
	}
	earlierBeginReply struct {
		Outcome   uint8
		Chain     []byte
		Replica   string
		Uncertain bool
	}
	earlierEndReply   struct{ Kept bool }
	earlierLocateArgs struct {
		Account, Turn string
		WaitMS        int64
	}
	earlierLocateReply struct {
		Outcome uint8
		Chain   []byte
		Replica string
		Certain uint64
	}
	earlierTurn struct {
		ID             string        `cbor:"1,keyasint"`
		Parent         string        `cbor:"2,keyasint,omitempty"`
		Account        string        `cbor:"3,keyasint"`
		Program        string        `cbor:"4,keyasint"`
		State          uint8         `cbor:"5,keyasint"`
		Tokens         int           `cbor:"6,keyasint"`
		Input          []byte        `cbor:"7,keyasint,omitempty"`
		Output         []byte        `cbor:"8,keyasint,omitempty"`
		Session        string        `cbor:"15,keyasint,omitempty"`
		Replica        string        `cbor:"9,keyasint,omitempty"`
		Expiry         int64         `cbor:"10,keyasint"`
		Writer         int64         `cbor:"12,keyasint,omitempty"`
		Preallocations map[int64]int `cbor:"13,keyasint,omitempty"`
		Forgiven       int           `cbor:"14,keyasint,omitempty"`
	}
)

// outcomeGranted and outcomeLocated are outcomes as build a218eec numbers them.
const (
	outcomeGranted = 1
	outcomeLocated = 5
)

// lonelyPeers is a turns.Peers without other owners.
type lonelyPeers struct{}

func (lonelyPeers) Release(context.Context, turns.ReleaseArgs) (turns.ReleaseReply, turns.Presence) {
	return turns.ReleaseReply{}, turns.Unreachable
}

// goldenPartition is the partition of the golden records' program.
func goldenPartition() storelog.Partition {
	home := turns.PartitionOf("a", "p")
	return storelog.Partition{Topic: "turns" + string(rune('0'+home/8)), Part: home % 8}
}

// goldenOwner returns an owner over a store with the golden records.
func goldenOwner(t *testing.T, messages map[string][]byte) (*turns.Owner, *storelog.Memory) {
	t.Helper()
	log := storelog.NewMemory()
	records := []storelog.Record{{Key: "t1", Value: messages["record open"]}, {Key: "t0", Value: messages["record ended"]},
		{Key: "t2", Value: messages["record closed"]}}
	if _, err := log.Append(t.Context(), goldenPartition(), 0, records); err != nil {
		t.Fatal(err)
	}
	return turns.NewOwner(peers.Host{ID: "new", Incarnation: 1}, log, lonelyPeers{}, 8, event.Discard()), log
}

// TestRecordsOfEarlierBuild guards against a build that does not read, or reads wrongly, what the
// build before has stored.
func TestRecordsOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	owner, _ := goldenOwner(t, goldenMessages(t))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	begin := func(id string, budget int) turns.BeginReply {
		return owner.Begin(ctx, turns.BeginArgs{Account: "a", Program: "p", Turn: id, Parent: "t0", Budget: budget, MaxTokens: 10, RetentionMS: 60_000})
	}
	// 100 tokens are reserved, 40 and 30 used, and 300 and 100 preallocated.
	is.Equal(begin("t8", 579).Outcome, turns.Exhausted)
	reply := begin("t9", 580)
	is.Equal(reply.Outcome, turns.Granted)
	is.Equal(string(reply.Chain), "in-t0;out-t0\n")
	is.Equal(reply.Replica, "r1")
}

// TestCallsOfEarlierBuild guards against calls of the build before that are not understood, or
// replies that it would misread.
func TestCallsOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	messages := goldenMessages(t)
	owner, _ := goldenOwner(t, messages)
	owns := func(int) bool { return true }
	counts := func() (int, int) { return 1, 1 }
	server := rpc.NewServer()
	is.NoErr(server.RegisterName(turns.ServiceName, turns.NewService(owner, owns, event.Discard())))
	is.NoErr(server.RegisterName(quota.ServiceName, quota.NewService(quota.NewLimiter(quota.Bound{Window: 5 * time.Second, Excess: 0.1}, counts), event.Discard())))
	is.NoErr(server.RegisterName(pacing.ServiceName, pacing.NewService(pacing.NewPacer(counts), event.Discard())))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = peers.NewServer(server, event.Discard()).Serve(listener) }()
	call := func(method string, reply any) frameHeader {
		c, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_, err = c.Write(messages["call "+method])
		is.NoErr(err)
		return decodeFrame(t, readFrame(t, c), reply)
	}
	var begun earlierBeginReply
	is.Equal(call("Turns.Begin", &begun).Error, "")
	is.Equal(begun, earlierBeginReply{Outcome: outcomeGranted, Chain: []byte("in-t0;out-t0\n"), Replica: "r1"})
	var ended earlierEndReply
	is.Equal(call("Turns.End", &ended).Error, "")
	is.True(ended.Kept)
	var located earlierLocateReply
	is.Equal(call("Turns.Locate", &located).Error, "")
	is.Equal(located, earlierLocateReply{Outcome: outcomeLocated, Chain: []byte("in-t0;out-t0\n"), Replica: "r1"})
	is.True(call("Turns.Release", &struct{}{}).Error != "") // it names another writer
	var taken quota.TakeReply
	is.Equal(call("Quota.Take", &taken).Error, "")
	is.Equal(call("Quota.GiveBack", &struct{}{}).Error, "")
	var reserved pacing.ReserveReply
	is.Equal(call("Pacing.Reserve", &reserved).Error, "")
	is.True(reserved.Granted)
}

// TestRepliesOfEarlierBuild guards against replies of the build before that are misread, and
// against calls that it would misread.
func TestRepliesOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	messages := goldenMessages(t)
	call := func(method string, args, sent, reply any) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer listener.Close()
		received := make(chan []byte, 1)
		go func() {
			if c, err := listener.Accept(); err == nil {
				received <- readFrame(t, c)
				_, _ = c.Write(messages["reply "+method])
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		caller := peers.NewCaller(peers.NewTable(peers.Host{ID: "self"}, func() bool { return true }))
		is.NoErr(caller.Call(ctx, peers.Host{ID: "h", Addr: listener.Addr().String()}, method, args, reply))
		decodeFrame(t, <-received, sent)
	}
	var begun turns.BeginReply
	var beginArgs earlierBeginArgs
	call("Turns.Begin", turns.BeginArgs{Account: "a", Program: "p", Session: "s", Turn: "t1", Parent: "t0", Budget: 900, MaxTokens: 100,
		RetentionMS: 60_000, WaitMS: 400, MaxChain: 1000}, &beginArgs, &begun)
	is.Equal(beginArgs, earlierBeginArgs{"a", "p", "s", "t1", "t0", 900, 100, 60_000, 400})
	is.Equal(begun, turns.BeginReply{Outcome: turns.Granted, Chain: []byte("in-t0;out-t0\n"), Replica: "r1"})
	var ended turns.EndReply
	var endArgs struct {
		Turn   earlierTurn
		WaitMS int64
	}
	call("Turns.End", turns.EndArgs{Turn: turns.Turn{ID: "t0", Account: "a", Program: "p", State: turns.Ended, Input: []byte("in")}, WaitMS: 400}, &endArgs, &ended)
	is.Equal(endArgs.Turn, earlierTurn{ID: "t0", Account: "a", Program: "p", State: 2, Input: []byte("in")})
	is.Equal(ended, turns.EndReply{Kept: true})
	var located turns.LocateReply
	var locateArgs earlierLocateArgs
	call("Turns.Locate", turns.LocateArgs{Account: "a", Turn: "t0", WaitMS: 400, MaxChain: 1000}, &locateArgs, &located)
	is.Equal(locateArgs, earlierLocateArgs{"a", "t0", 400})
	is.Equal(located, turns.LocateReply{Outcome: turns.Located, Chain: []byte("in-t0;out-t0\n"), Replica: "r1", Certain: 5})
	var released turns.ReleaseReply
	call("Turns.Release", turns.ReleaseArgs{Writer: 77, Account: "a", Program: "p"}, &turns.ReleaseArgs{}, &released)
	is.Equal(released.Open, map[string]int{"t3": 100})
	var taken quota.TakeReply
	call("Quota.Take", quota.TakeArgs{Account: "a"}, &quota.TakeArgs{}, &taken)
	is.Equal(taken, quota.TakeReply{RetryAfter: 70 * time.Millisecond})
	var reserved pacing.ReserveReply
	call("Pacing.Reserve", pacing.ReserveArgs{}, &pacing.ReserveArgs{}, &reserved)
	is.Equal(reserved, pacing.ReserveReply{Granted: true, Wait: 3 * time.Millisecond, PerSecond: 12.5, Age: time.Second})
}

// TestEarlierBuildReadsLongTurns guards against records of a long turn from which the build before
// would build another history: it joins the inputs and outputs of a turn and its ancestors.
func TestEarlierBuildReadsLongTurns(t *testing.T) {
	is := is.New(t)
	owner, log := goldenOwner(t, goldenMessages(t))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	long := turns.Turn{ID: "long", Parent: "t0", Account: "a", Program: "p", State: turns.Ended, Tokens: 7, Input: bytes.Repeat([]byte("abcdefg"), 100_000),
		Output: []byte("out\n"), Expiry: time.Now().Add(time.Minute).UnixMilli()}
	is.True(owner.End(ctx, long).Kept)
	page, err := log.Newest(ctx, goldenPartition(), "")
	is.NoErr(err)
	records := make(map[string]earlierTurn)
	tokens := 0
	for _, r := range page.Records {
		var decoded earlierTurn
		is.NoErr(cbor.Unmarshal(r.Value, &decoded))
		is.Equal(decoded.ID, r.Key)
		records[r.Key] = decoded
		tokens += decoded.Tokens
	}
	is.Equal(tokens, 100+40+30+7)
	var chain []byte
	for id := "long"; id != ""; id = records[id].Parent {
		is.Equal(records[id].State, uint8(2))
		chain = append(append(append([]byte{}, records[id].Input...), records[id].Output...), chain...)
	}
	is.True(bytes.Equal(chain, append([]byte("in-t0;out-t0\n"), append(long.Input, "out\n"...)...)))
}

// TestHostMessagesAreUnchanged guards against heartbeats and host records that the build before
// reads in another way.
func TestHostMessagesAreUnchanged(t *testing.T) {
	is := is.New(t)
	messages := goldenMessages(t)
	for name, value := range map[string]any{"host": &peers.Host{}, "heartbeat": &peers.Heartbeat{}} {
		is.NoErr(cbor.Unmarshal(messages[name], value))
		encoded, err := cbor.Marshal(value)
		is.NoErr(err)
		is.Equal(encoded, messages[name])
	}
}
