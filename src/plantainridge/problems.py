"""Problem documents (RFC 9457) for refusals."""

import json
import math
from typing import Any, Final

from starlette.responses import Response

from plantainridge.refusals import Refusal

PROBLEM_TYPE: Final = 'application/problem+json'


def problem(refusal: Refusal, request: str) -> Response:
    """Returns the response that ends a request with a refusal."""
    headers = {'x-request-id': request}
    if refusal.retry_after_s is None:
        # Keeps OpenAI clients from resending what cannot succeed.
        headers['x-should-retry'] = 'false'
    else:
        headers['retry-after'] = str(max(1, math.ceil(refusal.retry_after_s)))
    return Response(json.dumps(problem_body(refusal, request)),
                    status_code=refusal.status,
                    headers=headers,
                    media_type=PROBLEM_TYPE)


def problem_body(refusal: Refusal, request: str) -> dict[str, Any]:
    """Returns the members of a refusal's problem document."""
    return {
        'type': f'urn:plantainridge:{refusal.reason.value}',
        'title': refusal.reason.value.replace('_', ' '),
        'status': refusal.status,
        'detail': refusal.detail,
        'ran': refusal.ran.value,
        'request': request,
        # What clients of the OpenAI interface look for.
        'error': {
            'message': refusal.detail,
            'type': refusal.reason.value,
            'code': refusal.reason.value,
            'param': None,
        },
    }
