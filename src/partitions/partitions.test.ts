/**
 * The detection of a host that reaches no upstream.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createAnnouncement } from "../../tests/support/announcements.js";
import { createSeededRandom } from "../decision/index.js";
import { chooseProbeTargets, PartitionDetector, UpstreamContact } from "./index.js";

const STEP_MILLISECONDS = 100;

/** Creates the contact of a host that ran without a pause from 0 to a time, and last heard an upstream at 0. */
function createContact(untilMilliseconds: number): UpstreamContact {
    const contact = new UpstreamContact();
    for (let now = -1_000; now <= untilMilliseconds; now += STEP_MILLISECONDS) {
        contact.recordStep(now);
    }
    contact.recordHeard(0);
    return contact;
}

test("a host suspects a partition once two upstreams have stayed silent, sooner where a connection failed", () => {
    const contact = createContact(800);
    contact.recordSent("a", 10);
    assert.deepEqual(contact.silentUpstreams(800), []);
    contact.recordSent("b", 20);
    assert.deepEqual(contact.silentUpstreams(400), []);
    assert.deepEqual(contact.silentUpstreams(720), ["a", "b"]);
    contact.recordFailed("b", 30);
    assert.deepEqual(contact.silentUpstreams(400), ["a", "b"]);
    contact.recordHeard(410);
    assert.deepEqual(contact.silentUpstreams(800), []);
});

test("a host that did not run for a while suspects nothing before upstreams had time to be heard", () => {
    const contact = createContact(0);
    contact.recordFailed("a", 10);
    contact.recordFailed("b", 10);
    contact.recordStep(2_000);
    assert.deepEqual(contact.silentUpstreams(2_010), []);
    contact.recordStep(2_200);
    assert.deepEqual(contact.silentUpstreams(2_400), ["a", "b"]);
});

test("a host is partitioned only where a peer heard upstreams after it did, and probes failed since", () => {
    const detector = new PartitionDetector();
    const evidence = { heardAtMilliseconds: 0, probesFailedAtMilliseconds: 600 };
    assert.equal(detector.decide(evidence, 700), false);
    detector.recordStatement("peer", true, 400);
    assert.equal(detector.decide(evidence, 700), false);
    detector.recordStatement("peer", true, 650);
    assert.equal(detector.decide(evidence, 700), true);
    assert.equal(detector.decide({ ...evidence, probesFailedAtMilliseconds: undefined }, 700), false);
    assert.equal(detector.decide({ ...evidence, heardAtMilliseconds: 690 }, 700), false);
    detector.recordStatement("peer", false, 710);
    assert.equal(detector.decide(evidence, 720), false);
});

test("a probe connects to upstreams of each service, however many upstreams one of them has", () => {
    const many = Array.from(
        { length: 60 },
        (_, index) => createAnnouncement([], { id: `many-${index}`, service: "many" }),
    );
    const few = createAnnouncement([], { id: "few", service: "few" });
    const random = createSeededRandom(1);
    for (let round = 0; round < 20; round += 1) {
        const services = chooseProbeTargets([...many, few], random).map(({ service }) => service);
        assert.ok(services.length > 2 && services.includes("few") && services.includes("many"));
    }
});

for (const hostCount of [3, 9, 100, 390]) {
    test(`${hostCount} hosts: none withdraws where no host hears upstreams, and a single cut host does`, () => {
        const names = Array.from({ length: hostCount }, (_, index) => `entry-${index}`);
        const evidence = { heardAtMilliseconds: 0, probesFailedAtMilliseconds: 700 };
        const detectors = names.map(() => new PartitionDetector());
        detectors.forEach(detector => names.forEach(name => detector.recordStatement(name, false, 800)));
        assert.ok(detectors.every(detector => !detector.decide(evidence, 1_000)));
        const [cut] = detectors;
        names.slice(1).forEach(name => cut?.recordStatement(name, true, 900));
        assert.equal(cut?.decide(evidence, 1_000), true);
    });
}
