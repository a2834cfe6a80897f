import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "node:test";
import { createCollectingLogger } from "../../../tests/support/collectedLines.js";
import { ConfigurationInForce } from "./configurationInForce.js";
import { StateFromPeers } from "./stateFromPeers.js";
import { StoredEntries } from "./storedEntries.js";

/** Hosts of a cell that learn from a peer's digest of a configuration that is still on its way to them. */
const HOSTS = 10;

test("hosts whose changes are on their way do not all ask one peer for its whole state", async context => {
    let requests = 0;
    const server = createServer((_request, response) => {
        requests += 1;
        response.end(JSON.stringify({ revision: 0, entries: [] }));
    }).listen(0, "127.0.0.1");
    context.after(() => void server.close());
    await once(server, "listening");
    const peer = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const logger = createCollectingLogger([]);
    await Promise.all(Array.from({ length: HOSTS }, () => {
        const state = new StateFromPeers({
            keys: { configuration: "configuration", upstreamPrefix: "upstreams/" },
            configuration: new ConfigurationInForce(
                {
                    decodeConfiguration: () => undefined,
                    logger,
                    onChanged: () => undefined,
                } as unknown as ConstructorParameters<typeof ConfigurationInForce>[0],
            ),
            entries: new StoredEntries([]),
            logger,
            ownAddress: () => "127.0.0.1:1",
            seeds: () => [],
            isServiceReachable: () => true,
            newerPeerAddress: () => peer,
            newerCellAddress: () => undefined,
        });
        state.recordListed();
        return state.catchUp();
    }));
    assert.ok(requests <= 1, `${requests} requests to one peer`);
});
