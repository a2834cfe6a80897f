import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { PacedSender } from "./index.js";

const ADDRESSES = Array.from({ length: 11 }, (_, index) => `10.0.0.${index}:7380`);

/** Half of a host's narrowest link: 7 Mbit/s. */
const BYTES_PER_MILLISECOND = 437.5;

const MILLISECONDS_PER_SECOND = 1_000;

/** A burst makes up for at most this much time. */
const MAXIMUM_BURST_MILLISECONDS = 45;

interface Sent {
    readonly address: string;
    readonly bytes: number;
    readonly at: number;
}

/** A sender in mocked time. */
class PacedLink {
    readonly sent: Sent[] = [];
    readonly sender: PacedSender;
    readonly #context: TestContext;
    #now = 0;

    constructor(context: TestContext) {
        this.#context = context;
        context.mock.timers.enable({ apis: ["setTimeout"] });
        this.sender = new PacedSender({
            send: ({ address, bytes }) => void this.sent.push({ address, bytes: bytes.length, at: this.#now }),
            bytesPerSecond: BYTES_PER_MILLISECOND * MILLISECONDS_PER_SECOND,
            readClock: () => this.#now,
        });
        context.after(() => this.sender.close());
    }

    get now(): number {
        return this.#now;
    }

    pass(milliseconds: number): void {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += 1) {
            this.#now += 1;
            this.#context.mock.timers.tick(1);
        }
    }

    /** Has time pass without a timer in between. */
    stall(milliseconds: number): void {
        this.#now += milliseconds;
        this.#context.mock.timers.runAll();
    }

    bytesSentBetween(from: number, to: number): number {
        return this.sent.filter(({ at }) => at >= from && at < to).reduce((total, { bytes }) => total + bytes, 0);
    }
}

test("a message to a cell leaves half of a narrow link free and starts at another address each time", context => {
    const link = new PacedLink(context);
    const firstAddresses = new Set<string>();
    for (let round = 0; round < ADDRESSES.length; round += 1) {
        const before = link.sent.length;
        link.sender.send("digest", Buffer.alloc(12_000), ADDRESSES);
        link.pass(500);
        const sentInRound = link.sent.slice(before);
        assert.deepEqual(sentInRound.map(({ address }) => address).sort(), [...ADDRESSES].sort());
        firstAddresses.add(sentInRound[0]?.address ?? "");
    }
    assert.equal(firstAddresses.size, ADDRESSES.length);
});

test("messages that come faster than the link carries them leave at its rate, in any window of time", context => {
    const link = new PacedLink(context);
    for (let step = 0; step < 100; step += 1) {
        link.sender.send("digest", Buffer.alloc(2_000), ADDRESSES);
        link.sender.send("sent", Buffer.alloc(80), ADDRESSES);
        link.pass(20);
    }
    for (const window of [100, 250, 1_000]) {
        const maximum = (window + MAXIMUM_BURST_MILLISECONDS) * BYTES_PER_MILLISECOND + 2_000;
        for (let from = 0; from + window <= link.now; from += 10) {
            const bytes = link.bytesSentBetween(from, from + window);
            assert.ok(bytes <= maximum, `${bytes} bytes in the ${window} ms from ${from} ms on`);
        }
    }
    assert.ok(link.bytesSentBetween(0, link.now) >= 0.95 * link.now * BYTES_PER_MILLISECOND);
});

test("a host that did not run for a while sends no burst that makes up for it", context => {
    const link = new PacedLink(context);
    link.sender.send("digest", Buffer.alloc(4_000), [...ADDRESSES, ...ADDRESSES, ...ADDRESSES]);
    link.pass(30);
    const from = link.now + 1;
    link.stall(2_000);
    const bytes = link.bytesSentBetween(from, link.now + 1);
    assert.ok(bytes > 0 && bytes <= MAXIMUM_BURST_MILLISECONDS * BYTES_PER_MILLISECOND + 4_000, `${bytes} bytes`);
});

test("small datagrams are sent at once, even while larger ones are queued", context => {
    const link = new PacedLink(context);
    link.sender.send("digest", Buffer.alloc(25_000), ADDRESSES);
    link.sender.send("sent", Buffer.alloc(80), ADDRESSES);
    assert.equal(link.sent.filter(({ bytes }) => bytes === 80).length, ADDRESSES.length);
    assert.ok(link.sent.filter(({ bytes }) => bytes === 25_000).length < ADDRESSES.length);
});

test("a message does not wait behind a far larger one, and both are sent whole", context => {
    const link = new PacedLink(context);
    link.sender.send("changes", Buffer.alloc(48_000), ADDRESSES);
    link.pass(200);
    link.sender.send("digest", Buffer.alloc(2_000), ADDRESSES);
    const sentAt = link.now;
    link.pass(2_000);
    const smaller = link.sent.filter(({ bytes }) => bytes === 2_000);
    assert.equal(smaller.length, ADDRESSES.length);
    assert.ok(Math.max(...smaller.map(({ at }) => at)) - sentAt <= 400);
    assert.equal(link.sent.filter(({ bytes }) => bytes === 48_000).length, ADDRESSES.length);
});

test("the backlog is the time in which what waits will have left", context => {
    const link = new PacedLink(context);
    const readBacklog = (): number => link.sender.backlogMilliseconds(["digest"]);
    assert.equal(readBacklog(), 0);
    link.sender.send("digest", Buffer.alloc(20_000), ADDRESSES);
    const backlog = readBacklog();
    assert.ok(backlog > 0 && backlog <= ADDRESSES.length * 20_000 / BYTES_PER_MILLISECOND);
    link.pass(Math.ceil(backlog) + 100);
    assert.equal(readBacklog(), 0);
    assert.equal(link.sent.length, ADDRESSES.length);
});

test("larger messages leave also while small datagrams alone take the whole rate", context => {
    const link = new PacedLink(context);
    for (let step = 0; step < 100; step += 1) {
        link.sender.send("sent", Buffer.alloc(400), [...ADDRESSES, ...ADDRESSES, ...ADDRESSES]);
        if (step === 20) {
            link.sender.send("digest", Buffer.alloc(12_000), ADDRESSES);
        }
        link.pass(20);
    }
    const larger = link.sent.filter(({ bytes }) => bytes === 12_000);
    assert.equal(larger.length, ADDRESSES.length, `${larger.length} of ${ADDRESSES.length} left`);
});

test("a message to nobody holds up no other", context => {
    const link = new PacedLink(context);
    link.sender.send("summary", Buffer.alloc(2_000), []);
    link.sender.send("digest", Buffer.alloc(2_000), ADDRESSES);
    link.pass(100);
    assert.equal(link.sent.length, ADDRESSES.length);
});
