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
	// AuthorityValidity is the validity period of a new CA.
	AuthorityValidity = 10 * 365 * 24 * time.Hour
	// CertificateValidity is the default validity period of a daemon's certificate.
	CertificateValidity = 365 * 24 * time.Hour
	// clockSkew backdates certificates for machines whose clock is behind.
	clockSkew = 5 * time.Minute

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
	serialBits       = 128
)

// Authority is the certificate authority (CA) of a site.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates the CA of the named site, valid from now.
func NewAuthority(site string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the CA's key")
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
		return nil, errors.Wrap(err, "sign the CA certificate")
	}
	certificate, err := x509.ParseCertificate(content)
	if err != nil {
		return nil, errors.Wrap(err, "parse the CA certificate")
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Save writes the CA's certificate and private key to new files. It writes the key
// first, so that a certificate never exists without its key.
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

// LoadAuthority reads the files written by Save. Its error has the kind invalid.
func LoadAuthority(certificatePath, keyPath string) (*Authority, error) {
	certificateContent, err := readPEMBlock(certificatePath, certificateBlock)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(certificateContent)
	if err != nil {
		return nil, invalidFile(certificatePath, err)
	}
	keyContent, err := readPEMBlock(keyPath, keyBlock)
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

// Request is a certificate request.
type Request struct {
	Identity Identity
	// Addresses are the IP addresses at which callers and operators reach the daemon.
	// Their clients verify them; daemons verify Identity instead.
	Addresses []netip.Addr
	// Validity is the validity period; 0 means CertificateValidity.
	Validity time.Duration
	// Now is the start of the validity period.
	Now time.Time
}

// Issued is a certificate and its private key in PEM format.
type Issued struct {
	Certificate []byte
	Key         []byte
}

// Issue generates a key and a certificate for a daemon.
func (a *Authority) Issue(request Request) (Issued, error) {
	uri := request.Identity.URI()
	if _, err := parseIdentity(uri); err != nil {
		return Issued{}, structs.NewError(structs.ErrorInvalid,
			"a certificate requires a zone and a daemon", "Set both with --zone and --daemon.")
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
		return Issued{}, errors.Wrap(err, "generate the daemon's key")
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

// Save writes the key and then the certificate, each atomically. A daemon that reads
// them in between keeps its previous pair.
func (i Issued) Save(certificatePath, keyPath string) error {
	if err := WriteFile(keyPath, i.Key); err != nil {
		return err
	}
	return WriteFile(certificatePath, i.Certificate)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate a serial number")
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
		return nil, errors.Wrap(err, "encode the private key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: content}), nil
}

func readPEMBlock(path, kind string) ([]byte, error) {
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
		"Set a file that `lotusferryctl keys` wrote and this user may read.")
}
