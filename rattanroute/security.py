"""Authentication with bearer tokens and optional mutual TLS."""

import dataclasses
import hashlib
import hmac
import pathlib
import ssl

from grpclib.const import Status
from grpclib.events import listen
from grpclib.events import RecvRequest
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from rattanroute.errors import SettingsError
from rattanroute.logs import get_logger
from rattanroute.settings import DaemonSettings
from rattanroute.settings import SecuritySettings

AUTHORIZATION_METADATA = "authorization"
# Set by the server; a value sent by a client is overwritten.
IDENTITY_METADATA = "rattanroute-identity"
BEARER_PREFIX = "bearer "

logger = get_logger(__name__)


def read_signature(path: pathlib.Path) -> tuple[int, int, int]:
    """Returns file metadata that changes when the file does."""
    status = path.stat()
    return status.st_ino, status.st_mtime_ns, status.st_size


def hash_token(token: str) -> bytes:
    """Returns the hash that is compared instead of the token.

    All hashes have the same length, so that the duration of a comparison does
    not reveal the length of a token.
    """
    return hashlib.sha256(token.encode()).digest()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Token:
    """A bearer token read from a file.

    Attributes:
        name: Name of its owner; empty when the file gives none.
        secret: The token.
        digest: Hash of the token.
    """

    name: str
    secret: str = dataclasses.field(repr=False)
    digest: bytes = dataclasses.field(repr=False)


def parse_tokens(text: str, path: pathlib.Path) -> tuple[Token, ...]:
    """Parses lines of the form `token` or `name token`; `#` is a comment.

    Raises:
        SettingsError: If a line has another form, or there is no token. The
            error contains the line number, never the content.
    """
    tokens = []
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if len(words) > 2:
            raise SettingsError(
                step="load tokens",
                peer=str(path),
                message=f"line {number} is not `token` or `name token`",
            )
        name = words[0] if len(words) == 2 else ""
        tokens.append(
            Token(name=name, secret=words[-1], digest=hash_token(words[-1]))
        )
    if not tokens:
        raise SettingsError(
            step="load tokens", peer=str(path), message="file contains no token"
        )
    return tuple(tokens)


class TokenFile:
    """Tokens of a file, reloaded when the file changes.

    If the changed file cannot be used, the previous tokens stay valid, so that
    a mistake during a rotation does not lock out all clients.

    Attributes:
        path: The file.
        tokens: Tokens of the last successful load.
        signature: Metadata of the file at the last load.
        reload_error: Why the latest reload failed; empty when it did not.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Reads the file.

        Raises:
            SettingsError: If the file cannot be read or holds no token.
        """
        self.path = path
        self.signature = None
        self.tokens: tuple[Token, ...] = ()
        self.reload_error = ""
        self.load()

    def load(self) -> None:
        """Reads the file if it changed.

        Raises:
            SettingsError: If the file cannot be read or holds no token.
        """
        try:
            signature = read_signature(self.path)
            if signature == self.signature:
                return
            self.signature = signature
            text = self.path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(
                step="load tokens",
                peer=str(self.path),
                message=f"cannot be read ({type(error).__name__})",
            ) from error
        self.tokens = parse_tokens(text, self.path)

    def refresh(self) -> tuple[Token, ...]:
        """Reloads the file if it changed; returns the valid tokens."""
        reload_error = ""
        try:
            self.load()
        except SettingsError as error:
            reload_error = str(error)
        # Logged once per new failure, so that clients cannot fill the log.
        if reload_error and reload_error != self.reload_error:
            logger.warning("token reload failed", error=reload_error)
        self.reload_error = reload_error
        return self.tokens

    def authenticate(self, header: object) -> Token | None:
        """Returns the token that an `authorization` value presents, if valid.

        Every token is compared, so that the duration does not reveal which
        one matches.
        """
        text = header if isinstance(header, str) else ""
        presented = b""
        if text[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
            presented = hash_token(text[len(BEARER_PREFIX) :].strip())
        found = None
        for token in self.refresh():
            if hmac.compare_digest(token.digest, presented):
                found = token
        return found

    def metadata(self) -> dict[str, str]:
        """Returns metadata that authenticates with the first token."""
        return {AUTHORIZATION_METADATA: f"Bearer {self.refresh()[0].secret}"}


def protect_server(server: Server, tokens: TokenFile | None) -> None:
    """Makes a gRPC server refuse calls without a valid token.

    Args:
        server: The server; its handlers find the name of the client in the
            metadata `IDENTITY_METADATA`, empty for a token without a name.
        tokens: Valid tokens; None accepts every client.
    """

    async def check(event: RecvRequest) -> None:
        name = ""
        if tokens is not None:
            token = tokens.authenticate(
                event.metadata.get(AUTHORIZATION_METADATA)
            )
            if token is None:
                raise GRPCError(
                    Status.UNAUTHENTICATED, "missing or unknown bearer token"
                )
            name = token.name
        event.metadata[IDENTITY_METADATA] = name

    listen(server, RecvRequest, check)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TlsFiles:
    """Certificate and key files for mutual TLS.

    Attributes:
        certificate: Certificate chain of this process.
        key: Private key of the certificate.
        authority: Certificates of the authorities that are trusted.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path

    def signature(self) -> tuple[tuple[int, int, int], ...]:
        """Returns file metadata that changes when a file does."""
        return tuple(
            read_signature(path)
            for path in (self.certificate, self.key, self.authority)
        )


def build_tls_files(settings: SecuritySettings) -> TlsFiles | None:
    """Returns the files for mutual TLS, or None if it is disabled."""
    if settings.certificate_file is None:
        return None
    return TlsFiles(
        certificate=settings.certificate_file,
        key=settings.key_file,
        authority=settings.authority_file,
    )


def build_context(files: TlsFiles, purpose: ssl.Purpose) -> ssl.SSLContext:
    """Builds a TLS context that requires a certificate of the peer.

    Addresses of VMs change, so a certificate is verified against the private
    authority only and not against a host name.

    Raises:
        SettingsError: If a file cannot be used.
    """
    server_side = purpose is ssl.Purpose.CLIENT_AUTH
    protocol = (
        ssl.PROTOCOL_TLS_SERVER if server_side else ssl.PROTOCOL_TLS_CLIENT
    )
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(["h2"])
    try:
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
    except (OSError, ValueError) as error:
        raise SettingsError(
            step="load certificates",
            peer=str(files.certificate),
            message=f"cannot be used ({type(error).__name__})",
        ) from error
    return context


def build_client_context(files: TlsFiles) -> ssl.SSLContext:
    """Builds the TLS context for outgoing connections."""
    return build_context(files, ssl.Purpose.SERVER_AUTH)


class ReloadingContext:
    """TLS context that is rebuilt when its files change.

    While the files cannot be used, for example because a new key does not
    match the old certificate yet, the previous context stays in use.

    Attributes:
        files: The files.
        purpose: Side of a connection that the context is for.
        latest: Context of the last successful load.
        signature: Metadata of the files before the last load by `refresh`;
            None before the first one.
        reload_error: Why the latest reload failed; empty when it did not.
    """

    def __init__(self, files: TlsFiles, purpose: ssl.Purpose) -> None:
        """Reads the files.

        Raises:
            SettingsError: If a file cannot be used.
        """
        self.files = files
        self.purpose = purpose
        self.latest = build_context(files, purpose)
        # The files may have changed since, so the first use loads them again.
        self.signature: tuple[tuple[int, int, int], ...] | None = None
        self.reload_error = ""

    def refresh(self) -> ssl.SSLContext:
        """Rebuilds the context if the files changed; returns it."""
        reload_error = self.reload_error
        try:
            signature = self.files.signature()
            if signature != self.signature:
                self.signature = signature
                self.latest = build_context(self.files, self.purpose)
                reload_error = ""
        except (OSError, SettingsError) as error:
            reload_error = str(error)
        # Logged once per new failure, so that connections cannot fill the log.
        if reload_error and reload_error != self.reload_error:
            logger.warning("certificate reload failed", error=reload_error)
        self.reload_error = reload_error
        return self.latest


class ServerContextSelector:
    """Selects the current TLS context for each incoming connection.

    Attributes:
        current: Context that is rebuilt when its files change.
        context: Context to start a server with; it never changes and switches
            each handshake to the current context.
    """

    def __init__(self, files: TlsFiles) -> None:
        """Reads the files.

        Raises:
            SettingsError: If a file cannot be used.
        """
        self.current = ReloadingContext(files, ssl.Purpose.CLIENT_AUTH)
        self.context = build_context(files, ssl.Purpose.CLIENT_AUTH)
        self.context.sni_callback = self.select_current

    def select_current(
        self, connection: ssl.SSLObject, name: str | None, context: object
    ) -> None:
        """Switches a handshake to the current context; `ssl` calls this."""
        del name, context
        connection.context = self.current.refresh()


class DaemonCredentials:
    """Tokens and certificates of a daemon.

    Attributes:
        operators: Tokens of operators; None accepts every operator.
        peers: Tokens of peers; None accepts every peer.
        targets: Tokens of targets; None accepts every target.
        tls: Files for mutual TLS; None if it is disabled.
        server_contexts: Selects contexts for incoming connections; None
            without mutual TLS.
        client_contexts: Context for connections to peers; None without
            mutual TLS.
    """

    def __init__(self, *, settings: DaemonSettings) -> None:
        """Reads all files.

        Raises:
            SettingsError: If a file cannot be used.
        """
        security = settings.security
        self.operators = open_tokens(security.operators_token_file)
        self.peers = open_tokens(security.peers_token_file)
        self.targets = open_tokens(settings.targets.token_file)
        self.tls = build_tls_files(security)
        self.server_contexts = (
            ServerContextSelector(self.tls) if self.tls else None
        )
        self.client_contexts = (
            ReloadingContext(self.tls, ssl.Purpose.SERVER_AUTH)
            if self.tls
            else None
        )

    def peer_metadata(self) -> dict[str, str]:
        """Returns the metadata that authenticates this VM to peers."""
        return self.peers.metadata() if self.peers is not None else {}

    def client_context(self) -> ssl.SSLContext | None:
        """Returns the TLS context for a new connection to a peer."""
        contexts = self.client_contexts
        return contexts.refresh() if contexts is not None else None


def open_tokens(path: pathlib.Path | None) -> TokenFile | None:
    """Loads a token file; returns None without a path."""
    return TokenFile(path) if path is not None else None
