package ctl

import (
	"net/netip"
	"os"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// connect returns a client for the options. It never sends an API key without TLS.
func connect(options Options) (operatorapi.Service, error) {
	if len(options.Addresses) == 0 {
		return nil, usageError("no daemon address is set; use --address or LOTUSFERRY_ADDRESSES")
	}
	for _, address := range options.Addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, usageError("the address " + address + " is not an IP address with a port")
		}
		if options.Development && !parsed.Addr().Unmap().IsLoopback() {
			return nil, usageError("--development allows loopback addresses only, not " + address)
		}
	}
	if options.Development {
		return operatorapi.NewClient(operatorapi.ClientOptions{Addresses: options.Addresses}), nil
	}
	return connectTLS(options)
}

func connectTLS(options Options) (operatorapi.Service, error) {
	if options.CA == "" || options.KeyFile == "" {
		return nil, usageError("--ca and --key-file are required without --development")
	}
	tlsConfig, err := keys.PublicClientConfig(options.CA)
	if err != nil {
		return nil, err
	}
	content, err := os.ReadFile(options.KeyFile)
	if err != nil {
		return nil, structs.NewError(structs.ErrorInvalid,
			"the key file cannot be read: "+err.Error(),
			"Name the file that `lotusferryctl keys operator` wrote.")
	}
	key, err := keys.ParseAPIKey(string(content))
	if err != nil {
		return nil, err
	}
	return operatorapi.NewClient(operatorapi.ClientOptions{
		Addresses: options.Addresses,
		TLS:       tlsConfig,
		Key:       key,
	}), nil
}
