package store

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/durablefile"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// fileName is the name of the stored document within the folder. The file holds the CRC-32C of the
	// encoded document in 4 bytes, big endian, and the encoded document.
	fileName      = "document"
	checksumBytes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged means that the stored document does not match its checksum or cannot be decoded.
var ErrDamaged = errors.New("the stored configuration is corrupt; it is ignored and fetched again")

// documentFile is the document stored in a folder; if the folder name is empty, nothing is stored.
type documentFile struct {
	folder string
}

// load returns the stored document, or nil if there is none.
func (f documentFile) load() (*configpb.Document, error) {
	if f.folder == "" {
		return nil, nil
	}
	data, err := os.ReadFile(filepath.Join(f.folder, fileName))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the stored configuration; check the data folder")
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint32(data) != crc32.Checksum(data[checksumBytes:], castagnoli) {
		return nil, errors.WithStack(ErrDamaged)
	}
	d := &configpb.Document{}
	if err := proto.Unmarshal(data[checksumBytes:], d); err != nil {
		return nil, errors.WithStack(ErrDamaged)
	}
	return d, nil
}

// save stores the document durably: it returns nil only after file and folder are synced.
func (f documentFile) save(d *configpb.Document) error {
	if f.folder == "" {
		return nil
	}
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, checksumBytes), d)
	if err != nil {
		return errors.Wrap(err, "encode the configuration; report this as a defect")
	}
	binary.BigEndian.PutUint32(data, crc32.Checksum(data[checksumBytes:], castagnoli))
	return errors.Wrap(durablefile.Replace(filepath.Join(f.folder, fileName), data), "store the configuration")
}

// remove deletes the stored document, so that a restart does not use an outdated one.
func (f documentFile) remove() error {
	err := os.Remove(filepath.Join(f.folder, fileName))
	if os.IsNotExist(err) {
		return nil
	}
	return errors.Wrap(err, "remove the stored configuration; check the data folder")
}
