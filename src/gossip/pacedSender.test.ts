import assert from "node:assert/strict";
import { test } from "node:test";
import { PacedSender } from "./index.js";

const ADDRESSES = Array.from({ length: 11 }, (_, index) => `10.0.0.${index}:7380`);

/** Capacity of a host's narrowest link: 7 Mbit/s. */
const LINK_BYTES_PER_MILLISECOND = 875;

test("a message to a cell fits the capacity of a narrow link and starts at another address each time", context => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    let now = 0;
    const sent: { readonly address: string; readonly bytes: number; readonly at: number; }[] = [];
    const sender = new PacedSender(({ address, bytes }) => sent.push({ address, bytes: bytes.length, at: now }));
    const firstAddresses = new Set<string>();
    for (let round = 0; round < ADDRESSES.length; round += 1) {
        const before = sent.length;
        sender.send(Buffer.alloc(12_000), ADDRESSES);
        for (let elapsed = 0; elapsed < 500; elapsed += 1) {
            context.mock.timers.tick(1);
            now += 1;
        }
        const sentInRound = sent.slice(before);
        assert.deepEqual(sentInRound.map(({ address }) => address).sort(), [...ADDRESSES].sort());
        sentInRound.slice(1).forEach(({ at, bytes }, index) => {
            const gap = at - (sentInRound[index]?.at ?? 0);
            assert.ok(
                bytes <= gap * LINK_BYTES_PER_MILLISECOND,
                `${bytes} bytes ${gap} ms after the previous datagram`,
            );
        });
        firstAddresses.add(sentInRound[0]?.address ?? "");
    }
    assert.equal(firstAddresses.size, ADDRESSES.length);
    sender.close();
});

test("small datagrams are sent at once, even while larger ones are queued", context => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    const sent: number[] = [];
    const sender = new PacedSender(({ bytes }) => sent.push(bytes.length));
    sender.send(Buffer.alloc(5_000), ADDRESSES);
    sender.send(Buffer.alloc(80), ADDRESSES);
    assert.equal(sent.filter(bytes => bytes === 80).length, ADDRESSES.length);
    assert.ok(sent.filter(bytes => bytes === 5_000).length < ADDRESSES.length);
    sender.close();
});

test("a queue of any size is sent shortly after the maximum spread of 250 ms", context => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    let sent = 0;
    const sender = new PacedSender(() => {
        sent += 1;
    });
    for (let message = 0; message < 8; message += 1) {
        sender.send(Buffer.alloc(40_000), ADDRESSES);
    }
    for (let elapsed = 0; elapsed < 400; elapsed += 1) {
        context.mock.timers.tick(1);
    }
    assert.equal(sent, 8 * ADDRESSES.length);
    sender.close();
});
