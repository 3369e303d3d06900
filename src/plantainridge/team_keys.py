"""Authentication of teams by bearer keys."""

import enum
import hashlib
import hmac
from collections.abc import Mapping
from typing import Final

from plantainridge.config import Team
from plantainridge.ids import TeamId

SCHEME: Final = 'bearer'
MAX_KEY_BYTES: Final = 512


class AuthFailure(enum.Enum):
    """Reason why a request cannot be attributed to a team."""

    MISSING = 'the Authorization header holds no bearer key'
    UNKNOWN = 'the bearer key is unknown'


class KeyIndex:
    """Index of teams by the hash of their key.

    Only hashes are looked up, so the duration of a look-up reveals nothing
    about a key. The hash found is then compared in constant time.

    Attributes:
        teams: The teams that are indexed.
        teams_by_hash: Teams by the SHA-256 hash of their key, in hex.
    """

    def __init__(self) -> None:
        self.teams: Mapping[TeamId, Team] = {}
        self.teams_by_hash: dict[str, Team] = {}

    def find(self, teams: Mapping[TeamId, Team],
             authorization: str) -> Team | AuthFailure:
        """Return the team of an `Authorization` header.

        Args:
            teams: The teams in force; the index is rebuilt when they change.
            authorization: Value of the header; empty if there is none.

        Returns:
            The team, or why there is none.
        """
        scheme, _, key = authorization.partition(' ')
        data = key.strip().encode()
        if scheme.lower() != SCHEME or not data:
            return AuthFailure.MISSING
        if len(data) > MAX_KEY_BYTES:
            return AuthFailure.UNKNOWN
        if teams is not self.teams:
            self._index(teams)
        digest = hashlib.sha256(data).hexdigest()
        team = self.teams_by_hash.get(digest)
        if team is None or not hmac.compare_digest(team.key_hash, digest):
            return AuthFailure.UNKNOWN
        return team

    def _index(self, teams: Mapping[TeamId, Team]) -> None:
        self.teams_by_hash = {team.key_hash: team for team in teams.values()}
        self.teams = teams
