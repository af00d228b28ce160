"""The reference model: a deterministic chain of hashes.

A layer's result depends on its input, its number and its running cache over
all earlier positions. A layer that runs twice, is skipped, runs out of order
or uses another request's cache changes every later token.
"""

from collections.abc import Iterable
import dataclasses
import hashlib

from rattanroute.clients.attempts import prompt_words

DIGEST_BYTES = 16
EMPTY_CACHE = bytes(DIGEST_BYTES)


def digest(*parts: bytes) -> bytes:
    """Hashes the concatenation of parts."""
    return hashlib.blake2b(b"".join(parts), digest_size=DIGEST_BYTES).digest()


def embed(token: str) -> bytes:
    """Returns the hidden value of a token; outer blanks do not count."""
    return digest(b"embed", token.strip().encode())


def sample(hidden: bytes) -> str:
    """Returns the token of the last layer's output."""
    return f" w{int.from_bytes(hidden[:3], 'big'):06x}"


@dataclasses.dataclass(kw_only=True, slots=True)
class LayerState:
    """The cache of a range of layers for one request.

    Attributes:
        first_layer: First layer.
        last_layer: Last layer, inclusive.
        position: Positions that have run.
        caches: Running cache of each layer.
    """

    first_layer: int
    last_layer: int
    position: int = 0
    caches: dict[int, bytes] = dataclasses.field(default_factory=dict)

    def run(self, hidden: bytes) -> bytes:
        """Runs all layers for the next position."""
        for layer in range(self.first_layer, self.last_layer + 1):
            cache = self.caches.get(layer, EMPTY_CACHE)
            cache = digest(cache, hidden, layer.to_bytes(4, "big"))
            self.caches[layer] = cache
            hidden = digest(b"output", cache)
        self.position += 1
        return hidden


def continue_tokens(
    state: LayerState, words: Iterable[str], count: int
) -> list[str]:
    """Runs prompt words on a whole model and generates tokens."""
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
        layers: Layers of the whole model.
        count: Number of tokens.

    Returns:
        Token texts, each with a leading blank; joined, they are the answer.
    """
    messages = prompt
    if isinstance(prompt, str):
        messages = [{"role": "user", "content": prompt}]
    state = LayerState(first_layer=0, last_layer=layers - 1)
    return continue_tokens(state, prompt_words(messages), count)
