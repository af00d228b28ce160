"""Private certificate authorities for tests."""

import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

from rattanroute.security import TlsFiles


class CertificateAuthority:
    """A private certificate authority that issues test certificates."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        self.certificate = self.sign(self.name, self.key.public_key(), True)

    def sign(
        self, subject: x509.Name, key: ec.EllipticCurvePublicKey, ca: bool
    ) -> x509.Certificate:
        """Signs a certificate, valid from an hour ago for two hours."""
        now = datetime.datetime.now(datetime.UTC)
        hour = datetime.timedelta(hours=1)
        authority_id = x509.AuthorityKeyIdentifier
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - hour)
            .not_valid_after(now + hour)
            .add_extension(x509.BasicConstraints(ca, None), critical=True)
            .add_extension(
                x509.SubjectKeyIdentifier.from_public_key(key), critical=False
            )
            .add_extension(
                authority_id.from_issuer_public_key(self.key.public_key()),
                critical=False,
            )
            .sign(self.key, hashes.SHA256())
        )

    def write(self, prefix: str) -> TlsFiles:
        """Writes a new key, its certificate and the authority certificate."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, prefix)]
        )
        certificate = self.sign(subject, key.public_key(), False)
        files = TlsFiles(
            certificate=self.folder / f"{prefix}.crt",
            key=self.folder / f"{prefix}.key",
            authority=self.folder / f"{prefix}.ca",
        )
        encoding = serialization.Encoding.PEM
        files.certificate.write_bytes(certificate.public_bytes(encoding))
        files.authority.write_bytes(self.certificate.public_bytes(encoding))
        files.key.write_bytes(
            key.private_bytes(
                encoding,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return files
