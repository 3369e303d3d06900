"""Runs the whole path in one process, with stand-ins, on loopback."""

import asyncio
import hashlib
import json
from typing import Final

import aiosonic
import click

from plantainridge import sheet
from plantainridge.entry import Entry, EntrySettings
from plantainridge.http_ports import new_client
from plantainridge.ids import DcId, EndpointId, VmId, WeightVersion
from plantainridge.revisions import Revision, encode
from plantainridge.serve import AppServer
from plantainridge.standins.engine import EngineModel, token_at
from plantainridge.standins.engine_http import EngineApp
from plantainridge.standins.log import LogApp, LogModel
from plantainridge.standins.service import ServiceApp, ServiceModel

HOST: Final = '127.0.0.1'
KEY: Final = 'demo-key'
POLL_S: Final = 0.02


def _sheet(engine: str, service: str) -> str:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    rows = [
        {'kind': 'dc', 'name': 'neihu'},
        {'kind': 'deployment', 'name': 'luminar', 'recompute_weight': '1'},
        {'kind': 'model', 'name': 'report', 'version': 'v1'},
        {'kind': 'service', 'name': 'lookup', 'repeatable': 'yes'},
        {'kind': 'team', 'name': 'bureau', 'key_hash': digest,
         'models': 'report'},
        {'kind': 'engine', 'name': 'e1', 'dc': 'neihu', 'serves': 'report',
         'address': engine},
        {'kind': 'instance', 'name': 's1', 'dc': 'neihu', 'serves': 'lookup',
         'address': service},
    ]  # yapf: disable
    rows.append({'kind': 'end', 'name': str(len(rows))})
    lines = [','.join(sheet.COLUMNS)]
    lines += [
        ','.join(row.get(column, '')
                 for column in sheet.COLUMNS)
        for row in rows
    ]
    return '\n'.join(lines) + '\n'


async def run() -> int:
    """Sends one streamed request and one service call through a VM."""
    log = LogModel()
    log_server = AppServer(LogApp(log).app, HOST, 0)
    engine = EngineModel(EndpointId('e1'), WeightVersion('v1'))
    engine_server = AppServer(EngineApp(engine).app, HOST, 0)
    service_server = AppServer(ServiceApp(ServiceModel()).app, HOST, 0)
    servers = (log_server, engine_server, service_server)
    for server in servers:
        await server.start()
    wanted = sheet.parse(_sheet(engine_server.address, service_server.address))
    log.append('config', 0, [encode(Revision(-1, wanted))])
    entry = Entry(
        EntrySettings(VmId('vm1'), DcId('neihu'), HOST, 0, 0,
                      log_server.address))
    await entry.start()
    client = new_client()
    whole = await _ask(client, entry)
    await client.aclose()
    await entry.stop()
    for server in servers:
        await server.stop()
    click.echo(
        json.dumps({
            'demo': 'ok' if whole == 2 else 'failed',
            'requests': 2,
            'whole': whole
        }))
    return 0 if whole == 2 else 1


async def _ask(client: aiosonic.HTTPClient, entry: Entry) -> int:
    while not entry.runtime.state.ready:
        await asyncio.sleep(POLL_S)
    headers = {'Authorization': f'Bearer {KEY}'}
    prompt = 'turning movements ' * 1_000
    response = await client.request(
        f'http://{entry.callers.address}/v1/completions',
        method='POST',
        headers=headers,
        json={
            'model': 'report',
            'prompt': prompt,
            'max_tokens': 20,
            'stream': True
        },
        stream=True)
    text = ''
    async for line in response.iter_lines():
        if line.startswith('data: {'):
            text += json.loads(line[len('data: '):])['choices'][0]['text']
    whole = int(text == ''.join(token_at(prompt, 'v1', i) for i in range(20)))
    answer = await client.post(
        f'http://{entry.callers.address}/services/lookup/site/7',
        headers=headers,
        data=b'{}')
    return whole + int(answer.status_code == 200)
