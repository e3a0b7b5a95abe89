package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// AuthorityValidity is how long a new CA is valid.
	AuthorityValidity = 10 * 365 * 24 * time.Hour
	// CertificateValidity is how long a daemon's certificate is valid unless the
	// request says otherwise.
	CertificateValidity = 365 * 24 * time.Hour
	// clockSkew lets machines whose clock is behind accept a new certificate.
	clockSkew = 5 * time.Minute

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
	serialBits       = 128
)

// Authority is the CA of a site.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority makes the CA of the named site, valid from now.
func NewAuthority(site string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make the CA's key")
	}
	template, err := newTemplate("lotusferry CA of "+site, now, AuthorityValidity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	content, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the CA")
	}
	certificate, err := x509.ParseCertificate(content)
	if err != nil {
		return nil, errors.Wrap(err, "read the CA back")
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Save writes the CA's certificate and private key to new files. The key comes
// first, so that no certificate stands without its key.
func (a *Authority) Save(certificatePath, keyPath string) error {
	key, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	if err := WriteNewFile(keyPath, key); err != nil {
		return err
	}
	return WriteNewFile(certificatePath, encodeCertificate(a.certificate.Raw))
}

// LoadAuthority reads what Save wrote. Its error has the kind invalid.
func LoadAuthority(certificatePath, keyPath string) (*Authority, error) {
	certificateContent, err := readBlock(certificatePath, certificateBlock)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(certificateContent)
	if err != nil {
		return nil, invalidFile(certificatePath, err)
	}
	keyContent, err := readBlock(keyPath, keyBlock)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyContent)
	if err != nil {
		return nil, invalidFile(keyPath, err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, invalidFile(keyPath, errors.New("not the key of "+certificatePath))
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Request asks an Authority for a certificate.
type Request struct {
	Identity Identity
	// Addresses are the IP numbers at which callers and operators reach the
	// daemon; their clients check them. Daemons check Identity instead.
	Addresses []netip.Addr
	// Validity is CertificateValidity when zero.
	Validity time.Duration
	// Now is when the certificate begins to be valid.
	Now time.Time
}

// Issued is a certificate with its private key, both PEM.
type Issued struct {
	Certificate []byte
	Key         []byte
}

// Issue makes a key and a certificate for a daemon.
func (a *Authority) Issue(request Request) (Issued, error) {
	uri := request.Identity.URI()
	if _, err := parseIdentity(uri); err != nil {
		return Issued{}, structs.NewError(structs.ErrorInvalid,
			"a certificate needs a zone and a daemon", "Name both with --zone and --daemon.")
	}
	validity := request.Validity
	if validity == 0 {
		validity = CertificateValidity
	}
	template, err := newTemplate(string(request.Identity.Daemon), request.Now, validity)
	if err != nil {
		return Issued{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{uri}
	for _, address := range request.Addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.Unmap().AsSlice()))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Issued{}, errors.Wrap(err, "make the daemon's key")
	}
	content, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Issued{}, errors.Wrap(err, "sign the certificate")
	}
	encodedKey, err := encodeKey(key)
	if err != nil {
		return Issued{}, err
	}
	return Issued{Certificate: encodeCertificate(content), Key: encodedKey}, nil
}

// Save writes the key, then the certificate, each in one step. A daemon that
// reads them in between keeps its old pair.
func (i Issued) Save(certificatePath, keyPath string) error {
	if err := WriteFile(keyPath, i.Key); err != nil {
		return err
	}
	return WriteFile(certificatePath, i.Certificate)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "make a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func encodeCertificate(content []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: content})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	content, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode a private key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: content}), nil
}

func readBlock(path, kind string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, invalidFile(path, err)
	}
	block, _ := pem.Decode(content)
	if block == nil || block.Type != kind {
		return nil, invalidFile(path, errors.New("no PEM block "+kind))
	}
	return block.Bytes, nil
}

func invalidFile(path string, cause error) error {
	return structs.NewError(structs.ErrorInvalid,
		"the file "+path+" cannot be used: "+cause.Error(),
		"Name the file that `lotusferryctl keys` wrote, readable by this user.")
}
