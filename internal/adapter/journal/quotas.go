package journal

import (
	"encoding/binary"
	"hash/crc32"
	"io/fs"
	"path/filepath"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// quotaFileName is the name of the file that stores what may have been granted from quotas. The
// file is replaced atomically and begins with a CRC of its remaining bytes.
const quotaFileName = "quotas"

// QuotaStore stores what a control host may have granted from the teams' quotas, in the journal's
// data folder.
type QuotaStore struct {
	FS  FS
	Dir string
}

// Save implements port.QuotaStore.
func (q QuotaStore) Save(s *pb.QuotaState) error {
	data, err := proto.Marshal(s)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "")
	}
	sum := binary.BigEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli))
	return (&Journal{fs: q.FS, dir: q.Dir}).writeFile(quotaFileName, append(sum, data...))
}

// Load implements port.QuotaStore.
func (q QuotaStore) Load() (*pb.QuotaState, error) {
	data, err := q.FS.ReadFile(filepath.Join(q.Dir, quotaFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.JournalFailed, "")
	}
	s := &pb.QuotaState{}
	if len(data) < 4 || crc32.Checksum(data[4:], castagnoli) != binary.BigEndian.Uint32(data) || proto.Unmarshal(data[4:], s) != nil {
		return nil, failure.New(failure.JournalCorrupt, "", "the file %s is damaged", quotaFileName)
	}
	return s, nil
}
