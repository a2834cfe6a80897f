/**
 * What a cell representative sends while its cell reports lost requests all the time.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { CrashAttribution } from "../src/crashes/index.js";
import { toPublished } from "../src/entry/_gossipParts.js";
import { type GossipLink, openGossipLink } from "../src/gossip/index.js";
import { findFreePorts } from "../standins/freePorts.js";
import { createDigest } from "./support/digests.js";
import { EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";

/** With the host itself, two cells of twelve. */
const PEERS = 23;

const DIGEST_INTERVAL_MILLISECONDS = 400;
const LOSS_INTERVAL_MILLISECONDS = 50;
const OBSERVED_MILLISECONDS = 3_000;

/** Half of the narrowest links, which have 10 Mbit/s. */
const MAXIMUM_BYTES_PER_MILLISECOND = 625;

/** Time by which another cell hears of a lost request. */
const NEWS_MILLISECONDS = 500;

/** Upstreams of a digest, which make it as large as those of a grown site. */
const BUSY_UPSTREAMS = Object.fromEntries(Array.from({ length: 150 }, (_, index) => [`i-7ac73538c${index}`, 3]));

interface Received {
    readonly type: string;
    readonly bytes: number;
    readonly peer: string;
    readonly atMilliseconds: number;
}

/** Hosts that are only links, which report what they receive. */
class FakePeers {
    readonly received: Received[] = [];
    readonly #site: EntrySite;
    readonly #links = new Map<string, GossipLink>();
    readonly #addresses = new Map<string, string>();
    readonly #crashes = new Map<string, CrashAttribution>();
    #sequence = 0;

    constructor(site: EntrySite) {
        this.#site = site;
    }

    async open(): Promise<void> {
        for (const [index, port] of (await findFreePorts(PEERS)).entries()) {
            await this.#openPeer(`peer-${String(index).padStart(2, "0")}`, port);
        }
    }

    async #openPeer(peer: string, port: number): Promise<void> {
        const address = `127.0.0.1:${port}`;
        const link = await openGossipLink({
            address: "127.0.0.1",
            port,
            onMessage: () => undefined,
            onHandled: ({ bytes, type }) =>
                void this.received.push({ type, bytes, peer, atMilliseconds: performance.now() }),
            onProblem: () => undefined,
        });
        this.#links.set(peer, link);
        this.#addresses.set(peer, address);
        this.#crashes.set(peer, new CrashAttribution(peer));
        const addresses = { callers: address, gossip: address, state: address };
        this.#site.store.put(`hosts/${peer}`, { host: peer, session: "none", zone: "zone-a", addresses });
    }

    /** Sends the digest of each peer of the first cell. */
    sendDigests(host: SiteHost): void {
        for (const [peer] of [...this.#links].slice(0, 11)) {
            this.#sendDigest(peer, host);
        }
    }

    /** Has one of the peers tell of a lost request that no other has told of. */
    reportLoss(host: SiteHost, index: number): void {
        const peer = `peer-0${index % 10}`;
        const attributes = { fingerprint: `f${index}`, parts: [`p${index}`] };
        this.#crashes.get(peer)?.recordLost(attributes, `engine-${index % 5}@1`, performance.now());
        this.#sendDigest(peer, host);
    }

    #sendDigest(peer: string, { settings: { gossip } }: SiteHost): void {
        this.#sequence += 1;
        const address = this.#addresses.get(peer) ?? "";
        const crashes = toPublished(this.#crashes.get(peer)?.report(performance.now()) ?? emptyReport());
        const digest = createDigest(peer, {
            sequence: this.#sequence,
            zone: "zone-a",
            addresses: { callers: address, gossip: address, state: address },
            inFlight: BUSY_UPSTREAMS,
            ...crashes === undefined ? {} : { crashes },
        });
        this.#links.get(peer)?.send(digest, [`${gossip.address}:${gossip.port}`]);
    }

    close(): void {
        this.#links.forEach(link => link.close());
    }
}

function emptyReport(): ReturnType<CrashAttribution["report"]> {
    return new CrashAttribution("none").report(0);
}

/** Starts a host that represents its cell of links. */
async function startRepresentative(context: TestContext): Promise<{ host: SiteHost; peers: FakePeers; }> {
    const site = await EntrySite.start();
    const peers = new FakePeers(site);
    context.after(async () => {
        await site.close();
        peers.close();
    });
    site.configure([{ pathPrefix: "/reads/" }]);
    const host = await site.addHost("entry-1");
    await peers.open();
    await waitUntilReady(host);
    const timer = setInterval(() => peers.sendDigests(host), DIGEST_INTERVAL_MILLISECONDS);
    context.after(() => clearInterval(timer));
    const reachesAll = (): boolean => new Set(peers.received.map(({ peer }) => peer)).size === PEERS;
    await until(() => reachesAll() && peers.received.some(({ type }) => type === "summary"), 10_000);
    return { host, peers };
}

test("the messages of a representative leave half of a narrow link free while its cell loses requests", async context => {
    const { host, peers } = await startRepresentative(context);
    const startedAt = performance.now();
    for (let index = 0; performance.now() - startedAt < OBSERVED_MILLISECONDS; index += 1) {
        peers.reportLoss(host, index);
        await delay(LOSS_INTERVAL_MILLISECONDS);
    }
    const passedMilliseconds = performance.now() - startedAt;
    const received = peers.received.filter(({ atMilliseconds }) => atMilliseconds >= startedAt);
    const bytesPerMillisecond = received.reduce((total, { bytes }) => total + bytes, 0) / passedMilliseconds;
    assert.ok(
        bytesPerMillisecond <= MAXIMUM_BYTES_PER_MILLISECOND,
        `${Math.round(bytesPerMillisecond)} bytes a millisecond`,
    );
    const summaries = received.filter(({ peer, type }) => type === "summary" && peer >= "peer-11");
    const gaps = summaries.slice(1).map(({ atMilliseconds }, index) =>
        atMilliseconds - (summaries[index]?.atMilliseconds ?? 0)
    );
    assert.ok(summaries.length > 1 && Math.max(...gaps) <= NEWS_MILLISECONDS, `${Math.max(...gaps)} ms without news`);
});
