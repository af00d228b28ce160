"""Reference model of stand-in engines: a deterministic chain of hashes.

A layer's output depends on its input, its number and its running cache over
all earlier positions. A layer that runs twice, is skipped, runs out of order
or uses another request's cache therefore changes every later token.
"""

from collections.abc import Iterable
import dataclasses
import hashlib

from rattanroute.clients.attempts import prompt_words

DIGEST_BYTES = 16
EMPTY_CACHE = bytes(DIGEST_BYTES)


def digest(*parts: bytes) -> bytes:
    """Returns a hash of the concatenated parts."""
    return hashlib.blake2b(b"".join(parts), digest_size=DIGEST_BYTES).digest()


def embed(token: str) -> bytes:
    """Returns the hidden state of a token without surrounding whitespace."""
    return digest(b"embed", token.strip().encode())


def sample(hidden: bytes) -> str:
    """Returns the token text for an output of the last layer."""
    return f" w{int.from_bytes(hidden[:3], 'big'):06x}"


@dataclasses.dataclass(kw_only=True, slots=True)
class LayerState:
    """The cache of a range of layers for one request.

    Attributes:
        first_layer: First layer.
        last_layer: Last layer, inclusive.
        position: Number of positions that have run.
        caches: Running cache of each layer.
    """

    first_layer: int
    last_layer: int
    position: int = 0
    caches: dict[int, bytes] = dataclasses.field(default_factory=dict)

    def run(self, hidden: bytes) -> bytes:
        """Runs all layers of the range for the next position."""
        for layer in range(self.first_layer, self.last_layer + 1):
            cache = self.caches.get(layer, EMPTY_CACHE)
            cache = digest(cache, hidden, layer.to_bytes(4, "big"))
            self.caches[layer] = cache
            hidden = digest(b"output", cache)
        self.position += 1
        return hidden


def generate_tokens(
    state: LayerState, words: Iterable[str], count: int
) -> list[str]:
    """Prefills the prompt words, then generates tokens on all layers."""
    hidden = EMPTY_CACHE
    for word in words:
        hidden = state.run(embed(word))
    tokens: list[str] = []
    while len(tokens) < count:
        tokens.append(sample(hidden))
        hidden = state.run(embed(tokens[-1]))
    return tokens


def reference_tokens(
    prompt: str | Iterable[dict[str, object]], layers: int, count: int
) -> list[str]:
    """Returns the tokens that a correct run generates.

    Args:
        prompt: The content of a single user message, or a list of messages.
        layers: Number of layers of the model.
        count: Number of tokens.

    Returns:
        Token texts, each with a leading space; concatenated, they form the
        answer.
    """
    messages = prompt
    if isinstance(prompt, str):
        messages = [{"role": "user", "content": prompt}]
    state = LayerState(first_layer=0, last_layer=layers - 1)
    return generate_tokens(state, prompt_words(messages), count)
