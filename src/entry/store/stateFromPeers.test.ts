import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { createCollectingLogger } from "../../../tests/support/collectedLines.js";
import { createEntryMetrics } from "../../observability/index.js";
import { ConfigurationInForce } from "./configurationInForce.js";
import { StateFromPeers } from "./stateFromPeers.js";
import { StoredEntries } from "./storedEntries.js";

/** Hosts of a cell that learn from a peer's digest of a configuration that is still on its way to them. */
const HOSTS = 10;

/** A host lacks a newer configuration for this long at most before it asks a peer; half of the platform's limit. */
const ASKED_WITHIN_MILLISECONDS = 1_000;

/** A peer that counts the requests for its state. */
class CountingPeer {
    requests = 0;
    readonly #server = createServer((_request, response) => {
        this.requests += 1;
        response.end(JSON.stringify({ revision: 0, entries: [] }));
    });

    static async start(context: TestContext): Promise<CountingPeer> {
        const peer = new CountingPeer();
        peer.#server.listen(0, "127.0.0.1");
        context.after(() => void peer.#server.close());
        await once(peer.#server, "listening");
        return peer;
    }

    get address(): string {
        return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }
}

interface HostOptions {
    readonly isServiceReachable?: boolean;
    readonly random?: () => number;
    readonly readClock?: () => number;
}

/** Creates the state of a host that knows its upstreams, and a peer with a newer configuration. */
function createState(
    peer: CountingPeer,
    { isServiceReachable = true, random = () => 0.5, readClock = () => 0 }: HostOptions = {},
): StateFromPeers {
    const logger = createCollectingLogger([]);
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
        metrics: createEntryMetrics(),
        random,
        readClock,
        ownAddress: () => "127.0.0.1:1",
        seeds: () => [],
        isServiceReachable: () => isServiceReachable,
        newerPeerAddress: () => peer.address,
        newerCellAddress: () => undefined,
    });
    state.recordListed();
    return state;
}

test("hosts whose changes are on their way do not all ask one peer for its whole state", async context => {
    const peer = await CountingPeer.start(context);
    await Promise.all(Array.from({ length: HOSTS }, () => createState(peer).catchUp()));
    assert.ok(peer.requests <= 1, `${peer.requests} requests to one peer`);
});

test("a host whose changes do not arrive although the service answers it asks a peer soon", async context => {
    const peer = await CountingPeer.start(context);
    let now = 0;
    const state = createState(peer, { random: () => 0.999, readClock: () => now });
    await state.catchUp();
    assert.equal(peer.requests, 0);
    now = ASKED_WITHIN_MILLISECONDS;
    await state.catchUp();
    assert.equal(peer.requests, 1);
});

test("hosts whose changes do not arrive do not all ask at the same time", async context => {
    const peer = await CountingPeer.start(context);
    let now = 0;
    const states = Array.from(
        { length: HOSTS },
        (_, index) => createState(peer, { random: () => index / HOSTS, readClock: () => now }),
    );
    const asking: number[] = [];
    for (; now <= ASKED_WITHIN_MILLISECONDS; now += 50) {
        const before = peer.requests;
        await Promise.all(states.map(state => state.catchUp()));
        asking.push(peer.requests - before);
    }
    assert.equal(asking.at(-1), HOSTS, "in the end all ask");
    assert.ok(asking.every((count, index) => count - (asking[index - 1] ?? 0) <= HOSTS / 2), asking.join(" "));
});

test("a host that the service does not answer asks a peer at once", async context => {
    const peer = await CountingPeer.start(context);
    await createState(peer, { isServiceReachable: false }).catchUp();
    assert.equal(peer.requests, 1);
});
