import fc from "fast-check";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test, type TestContext } from "node:test";
import { until } from "../../../tests/support/entrySite.js";
import { MemoryBudget } from "../../memory/index.js";
import { ParserFeeds, type ParserFeedsOptions } from "./parserFeeds.js";

const SEED = 66;
const RUNS = 150;

/** Time between two looks of a server at the time limits of its connections. */
const CHECK_MILLISECONDS = 50;
const HEADER_MILLISECONDS = 300;

interface Site {
    readonly server: Server;
    readonly received: string[];
    readonly events: { pieces: number; };
    /** Sends pieces on one connection, and returns what was answered when the server has closed it. */
    send(pieces: readonly string[]): Promise<string>;
}

/** Answers each request once its body was read; closes the connection after the path `/last`. */
async function startSite(context: TestContext, options: Partial<ParserFeedsOptions> = {}): Promise<Site> {
    const received: string[] = [];
    const events = { pieces: 0 };
    const server = createServer({ connectionsCheckingInterval: CHECK_MILLISECONDS }, (message, response) => {
        let body = "";
        message.on("data", (piece: Buffer) => {
            events.pieces += 1;
            body += piece.toString("latin1");
        });
        message.on("end", () => {
            received.push(`${message.method ?? ""} ${message.url ?? ""} ${body}`);
            if (message.url === "/last") {
                response.setHeader("connection", "close");
            }
            response.end();
        });
    });
    const memory = new MemoryBudget({ machineBytes: undefined });
    new ParserFeeds({ memory, onNoRoom: socket => socket.destroy(), ...options }).attach(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => {
        server.closeAllConnections();
        server.close();
    });
    const send = (pieces: readonly string[]): Promise<string> =>
        new Promise(resolve => {
            const socket = connect((server.address() as AddressInfo).port, "127.0.0.1").setNoDelay();
            let answer = "";
            socket.on("data", (bytes: Buffer) => {
                answer += bytes.toString("latin1");
            });
            socket.on("error", () => undefined);
            socket.on("close", () => resolve(answer));
            const [first = "", ...later] = pieces;
            socket.write(first, "latin1");
            const sendNext = (): void => {
                const piece = later.shift();
                if (piece !== undefined) {
                    socket.write(piece, "latin1", () => setImmediate(sendNext));
                }
            };
            setImmediate(sendNext);
        });
    return { server, received, events, send };
}

const text = fc.string({ unit: fc.constantFrom("a", "\r", "\n", "0", "\r\n", ";"), maxLength: 30 });
const chunk = fc.record({
    data: fc.oneof(text, fc.constant("x".repeat(3_000))).filter(data => data.length > 0),
    extension: fc.constantFrom("", "", "", ";a=b"),
    isUpperCase: fc.boolean(),
});
const request = fc.oneof(
    fc.constantFrom(
        "GET /none HTTP/1.1\r\nHost: h\r\n\r\n",
        "\r\nGET /none HTTP/1.1\r\nHost: h\r\nX-Empty:\r\nX-Last: 1\r\n\r\n",
        // Its fields are within the parser's limit, which does not count blanks, and beyond what is kept unparsed.
        `GET /none HTTP/1.1\r\nHost: h\r\nX-Wide:${" ".repeat(17_000)}y\r\nX-Last: 1\r\n\r\n`,
    ).map(bytes => ({ bytes, received: "GET /none " })),
    text.map(body => ({
        bytes: `POST /sized HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
        received: `POST /sized ${body}`,
    })),
    fc.tuple(
        fc.array(chunk, { maxLength: 20 }),
        fc.constantFrom("", "", ";a=b"),
        fc.constantFrom("", "X-Trailer: 1\r\n", "X-Trailer: 1\r\nX-Last:\r\n"),
    ).map(([chunks, lastExtension, trailer]) => {
        const sizes = chunks.map(({ data, extension, isUpperCase }) => {
            const size = data.length.toString(16);
            return `${isUpperCase ? size.toUpperCase() : size}${extension}\r\n${data}\r\n`;
        });
        return {
            bytes: `POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${
                sizes.join("")
            }0${lastExtension}\r\n${trailer}\r\n`,
            received: `POST /chunks ${chunks.map(({ data }) => data).join("")}`,
        };
    }),
);

function split(bytes: string, cuts: readonly number[]): string[] {
    const positions = [...new Set(cuts.map(cut => cut % bytes.length))].sort((one, other) => one - other);
    return [...positions, bytes.length].map((end, index) => bytes.slice(positions[index - 1] ?? 0, end))
        .filter(piece => piece !== "");
}

// Guards against requests that are lost, mixed or changed where the bytes of a connection are cut or joined.
test("requests are read as they were sent, wherever their bytes are cut", async context => {
    const site = await startSite(context);
    await fc.assert(
        fc.asyncProperty(
            fc.array(request, { maxLength: 8 }),
            fc.array(fc.nat(), { maxLength: 12 }),
            async (requests, cuts) => {
                site.received.length = 0;
                const bytes = `${requests.map(each => each.bytes).join("")}GET /last HTTP/1.1\r\nHost: h\r\n\r\n`;
                await site.send(split(bytes, cuts));
                assert.deepEqual(site.received, [...requests.map(each => each.received), "GET /last "]);
            },
        ),
        { seed: SEED, numRuns: RUNS },
    );
});

// Guards against a parser that makes an object of each byte of a body in small chunks.
test("small chunks are joined before they are parsed", async context => {
    const site = await startSite(context);
    const head = "POST /last HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    await site.send([`${head}${"1\r\ny\r\n".repeat(10_000)}0\r\n\r\n`]);
    assert.deepEqual(site.received, [`POST /last ${"y".repeat(10_000)}`]);
    assert.ok(site.events.pieces < 50, `${site.events.pieces} pieces`);
});

// Guards against memory that what a connection sends ahead takes beside the budget.
test("a connection that sends ahead without room for it is closed, and what it holds is released", async context => {
    const memory = new MemoryBudget({ machineBytes: 1_000 });
    let refused = 0;
    const site = await startSite(context, {
        memory,
        maximumUnanswered: 1,
        onNoRoom: socket => {
            refused += 1;
            socket.destroy();
        },
    });
    await site.send(["GET /none HTTP/1.1\r\nHost: h\r\n\r\n".repeat(100)]);
    assert.equal(refused, 1);
    assert.equal(memory.reservedBytes("requests"), 0);
});

test("bytes that are no request end the connection as before", async context => {
    const site = await startSite(context);
    site.server.on("clientError", (_error, socket) => void socket.end("refused"));
    assert.equal(
        await site.send(["GET /none HTTP/1.1\r\n\x00: h\r\n\r\nGET /none HTTP/1.1\r\nHost: h\r\n\r\n"]),
        "refused",
    );
    assert.deepEqual(site.received, []);
});

// Guards against a head that is kept unparsed and never given up: the parser counts the time from its first byte.
test("a head without its end on a connection that is kept is given up after its time limit", async context => {
    const site = await startSite(context);
    Object.assign(site.server, { headersTimeout: HEADER_MILLISECONDS });
    const errors: unknown[] = [];
    site.server.on("clientError", ({ code }: NodeJS.ErrnoException, socket) => {
        errors.push(code);
        socket.destroy();
    });
    await site.send(["GET /none HTTP/1.1\r\nHost: h\r\n\r\n", "GET /none HTTP/1.1\r\nHost: h\r\nX-Open: 1\r\n"]);
    assert.deepEqual([site.received, errors], [["GET /none "], ["ERR_HTTP_REQUEST_TIMEOUT"]]);
});

// Guards against crowds whose heads without their end take the memory of the machine, or that of whole requests.
test("heads without their end are counted, and refused once they hold half of the requests' memory", async context => {
    const memory = new MemoryBudget({ machineBytes: 1_000_000 });
    let refused = 0;
    const site = await startSite(context, {
        memory,
        onNoRoom: socket => {
            refused += 1;
            socket.destroy();
        },
    });
    const head = `GET /none HTTP/1.1\r\nHost: h\r\n${"X-Many: 1\r\n".repeat(1_000)}`;
    const sockets = Array.from({ length: 10 }, () => {
        const socket = connect((site.server.address() as AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(head);
        return socket;
    });
    await until(() => refused > 0);
    const heldBytes = memory.reservedBytes("requests");
    assert.ok(heldBytes >= head.length && heldBytes < sockets.length * head.length, `${heldBytes} bytes`);
    assert.match(await site.send([`GET /last HTTP/1.1\r\nHost: h\r\n\r\n`]), /^HTTP\/1.1 200/);
    sockets.forEach(socket => socket.destroy());
    await until(() => memory.reservedBytes("requests") === 0);
});
