#include "Loopback.h"
#include "ejection.h"
#include "role/PeerViewClient.h"
#include "role/PeerViewServer.h"
#include "role/ViewFrame.h"
#include "service/AsioScheduler.h"
#include "simulation/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** \brief Prints counts in failed checks. */
std::string toString(const OutcomeCounts &counts)
{
    return std::to_string(counts.failures) + " of " + std::to_string(counts.requests);
}

constexpr Duration linkDelay = milliseconds(1);
constexpr Duration failureDelay = milliseconds(300);

OutcomeReport failure(std::uint32_t tag, std::uint16_t requests = 3)
{
    return {tag, 1, requests, 0, false};
}

/** \brief An instance that exchanges reports with its parent and its readers. */
struct Node
{
    Node(simulation::EventLoop &loop, Node *parent)
        : loop(loop)
        , scheduler(loop.scheduler())
        , parent(parent)
        , sharing(this->scheduler, this->random, this->hooks())
    {}

    OutcomeSharingHooks hooks();

    simulation::EventLoop &loop;
    Scheduler scheduler;
    Random random{1};
    Node *parent;
    bool reachable = true;
    bool refuses = false; //!< Closes the connection, as an instance without the exchange does.
    bool answersWithout = false; //!< Replies at once and with nothing.
    OutcomeReports ejections;
    std::vector<OutcomeReport> received;
    std::function<void(const OutcomeReport &report)> onReport; //!< May be empty.
    unsigned requests = 0;                                     //!< Requests of readers.
    OutcomeSharing sharing;
};

/** \brief Connection between two nodes; messages pass through the codec. */
class Link : public OutcomeSource
{
public:
    Link(Node &child, Node &parent)
        : child(child)
        , parent(parent)
    {}
    ~Link() override { this->disconnect(); }

    void exchange(const OutcomeRequest &request, Handler handler) override
    {
        const std::weak_ptr<bool> link = this->alive;
        this->child.loop.after(linkDelay,
                               [this, link, handler, message = encodeOutcomeRequest(request)] {
                                   if (link.lock())
                                       this->deliver(message, link, handler);
                               });
    }

private:
    void deliver(const Bytes &message, const std::weak_ptr<bool> &link, const Handler &handler)
    {
        ++this->parent.requests;
        if (!this->parent.reachable || this->parent.refuses) {
            this->disconnect();
            this->reply(failureDelay, link, handler, std::nullopt);
            return;
        }
        if (this->parent.answersWithout)
            return this->reply(linkDelay, link, handler, OutcomeReports{});
        const auto request = decodeOutcomeRequest(message);
        REQUIRE(request);
        if (!this->reader)
            this->reader = this->parent.sharing.addReader();
        this->parent.sharing.onRequest(
            *this->reader, *request, [this, link, handler](const OutcomeReports &reports) {
                if (link.lock())
                    this->reply(linkDelay, link, handler,
                                decodeOutcomeReply(encodeOutcomeReply(reports)));
            });
    }

    void reply(Duration delay, const std::weak_ptr<bool> &link, const Handler &handler,
               const std::optional<OutcomeReports> &reports)
    {
        this->child.loop.after(delay, [link, handler, reports] {
            if (link.lock())
                handler(reports);
        });
    }

    void disconnect()
    {
        if (this->reader)
            this->parent.sharing.removeReader(*this->reader);
        this->reader.reset();
    }

    Node &child;
    Node &parent;
    std::optional<OutcomeReaderId> reader;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

OutcomeSharingHooks Node::hooks()
{
    return {[this]() -> std::optional<ViewSource> {
                if (this->parent == nullptr)
                    return std::nullopt;
                return ViewSource{Endpoint{1, 1}, false, true};
            },
            [this](const ViewSource &) { return std::make_unique<Link>(*this, *this->parent); },
            [this](const OutcomeReport &report) {
                this->received.push_back(report);
                if (this->onReport)
                    this->onReport(report);
            },
            [this] {
                return this->ejections;
            }};
}

/** \brief A tree of three levels: a root, two instances that read from it, and two of each. */
class Tree
{
public:
    Tree()
    {
        for (const int parent : {-1, 0, 0, 1, 1, 2, 2}) {
            Node *above
                = parent < 0 ? nullptr : this->nodes[static_cast<std::size_t>(parent)].get();
            this->nodes.push_back(std::make_unique<Node>(this->loop, above));
        }
        for (const auto &node : this->nodes)
            node->sharing.start();
        this->loop.runFor(seconds(1));
    }
    ~Tree()
    {
        // Children disconnect from their parents.
        while (!this->nodes.empty())
            this->nodes.pop_back();
    }
    Tree(const Tree &) = delete;
    Tree &operator=(const Tree &) = delete;

    Node &at(std::size_t index) { return *this->nodes[index]; }

    /** \returns the sum of the counts of an upstream that a node received. */
    OutcomeCounts countsOf(std::size_t node, std::uint32_t tag)
    {
        OutcomeCounts sum;
        for (const OutcomeReport &report : this->at(node).received) {
            if (report.flowTag == tag)
                sum += {report.failures, report.requests};
        }
        return sum;
    }

    [[nodiscard]] unsigned requests() const
    {
        unsigned sum = 0;
        for (const auto &node : this->nodes)
            sum += node->requests;
        return sum;
    }

    simulation::EventLoop loop;
    std::vector<std::unique_ptr<Node>> nodes;
};

constexpr std::size_t treeSize = 7;

} // namespace

// Guards against counts that reach an instance twice, return to their origin or never arrive.
TEST_CASE("each count reaches each other instance of the domain once", "[OutcomeSharing]")
{
    Tree tree;
    for (std::size_t node = 0; node < treeSize; ++node) {
        for (int i = 0; i < 5; ++i)
            tree.at(node).sharing.report(failure(static_cast<std::uint32_t>(node + 1)));
    }
    tree.loop.runFor(seconds(2));
    for (std::size_t node = 0; node < treeSize; ++node) {
        for (std::size_t origin = 0; origin < treeSize; ++origin) {
            CAPTURE(node, origin);
            const OutcomeCounts expected = node == origin ? OutcomeCounts{} : OutcomeCounts{5, 15};
            CHECK(tree.countsOf(node, static_cast<std::uint32_t>(origin + 1)) == expected);
        }
    }
}

// Guards against reports that arrive too late for the window of an upstream.
TEST_CASE("a report crosses the tree within a second", "[OutcomeSharing]")
{
    Tree tree;
    tree.at(3).sharing.report(failure(9));
    tree.loop.runFor(milliseconds(1'000));
    CHECK(toString(tree.countsOf(6, 9)) == toString(OutcomeCounts{1, 3}));
}

// Guards against messages that grow with the number of failures, and against messages in calm times
// beside the pending requests.
TEST_CASE("the number of messages is bounded", "[OutcomeSharing]")
{
    Tree tree;
    const unsigned before = tree.requests();
    tree.loop.runFor(seconds(30));
    constexpr unsigned links = 6;
    CHECK(tree.requests() - before <= links * 11);

    const unsigned calm = tree.at(0).requests;
    for (int ms = 0; ms < 10'000; ms += 5) {
        tree.at(3).sharing.report(failure(static_cast<std::uint32_t>(ms % 100 + 1)));
        tree.loop.runFor(milliseconds(5));
    }
    // Four reports and four replies a second on each of the two links to the root.
    CHECK(tree.at(0).requests - calm <= 2 * 8 * 10 + 8);
    std::size_t largest = 0;
    for (std::uint32_t tag = 1; tag <= 100; ++tag)
        largest += tree.countsOf(6, tag).failures;
    CHECK(largest > 1'800);
}

// Guards against counts that stop at a failed instance for ever, against old counts that arrive
// after its return, and against an instance that does not decide alone meanwhile.
TEST_CASE("counts flow again after the return of a lost neighbour", "[OutcomeSharing]")
{
    Tree tree;
    tree.at(1).reachable = false;
    tree.loop.runFor(seconds(4));
    tree.at(3).sharing.report(failure(7));
    tree.at(0).sharing.report(failure(8));
    tree.loop.runFor(seconds(1));
    CHECK(toString(tree.countsOf(6, 7)) == toString(OutcomeCounts{}));
    CHECK(toString(tree.countsOf(6, 8)) == toString(OutcomeCounts{1, 3}));
    CHECK_FALSE(tree.at(3).sharing.hasNeighbours());
    tree.loop.runFor(seconds(4));
    tree.at(1).reachable = true;
    tree.loop.runFor(seconds(20));
    CHECK(toString(tree.countsOf(6, 7)) == toString(OutcomeCounts{}));
    tree.at(3).sharing.report(failure(10));
    tree.loop.runFor(seconds(1));
    CHECK(toString(tree.countsOf(6, 10)) == toString(OutcomeCounts{1, 3}));
}

// Guards against a flood of requests to an instance that refuses the exchange or answers nonsense.
TEST_CASE("a parent that does not take part costs few requests", "[OutcomeSharing]")
{
    const auto prepare = GENERATE(values<std::function<void(Node &)>>({
        [](Node &node) { node.refuses = true; },
        [](Node &node) { node.answersWithout = true; },
    }));
    simulation::EventLoop loop;
    Node root(loop, nullptr);
    prepare(root);
    Node child(loop, &root);
    child.sharing.start();
    loop.runFor(seconds(30));
    CHECK(root.requests <= 30 * 4 + 1);
    child.sharing.report(failure(7));
    loop.runFor(seconds(1));
    CHECK(root.received.empty());
}

// Guards against a restarted instance that sends new flows to upstreams which all others avoid.
TEST_CASE("a new neighbour receives the ejections in force", "[OutcomeSharing]")
{
    simulation::EventLoop loop;
    Node root(loop, nullptr);
    Node child(loop, &root);
    Node grandchild(loop, &child);
    root.ejections.push_back({7, 0, 0, 1'500, false});
    grandchild.ejections.push_back({8, 0, 0, 900, false});
    child.sharing.start();
    grandchild.sharing.start();
    loop.runFor(seconds(1));
    // The ejections of one instance are not imposed on all others.
    CHECK(child.received == OutcomeReports{grandchild.ejections[0], root.ejections[0]});
    CHECK(root.received.empty());
    CHECK(grandchild.received.empty());
}

// Guards against messages that are too long for the other side, and against counts of one upstream
// that take the place of those of others.
TEST_CASE("reports are summed and bounded", "[OutcomeSharing]")
{
    const TimePoint now{seconds(1'000)};
    PendingReports untold;
    SECTION("sums")
    {
        untold.add(failure(1, 2), now);
        untold.add(failure(1, 4), now);
        untold.add(failure(2), now);
        CHECK(untold.take(now) == OutcomeReports{{1, 2, 6, 0, false}, failure(2)});
        CHECK(untold.take(now).empty());
    }
    SECTION("at most 64 upstreams")
    {
        for (std::uint32_t tag = 1; tag <= 100; ++tag)
            untold.add(failure(tag), now);
        CHECK(untold.take(now).size() == maxOutcomeReports);
    }
    SECTION("failures replace requests without a failure")
    {
        for (std::uint32_t tag = 1; tag <= 100; ++tag)
            untold.add({tag, 0, 3, 0, false}, now);
        untold.add(failure(200), now);
        const OutcomeReports reports = untold.take(now);
        CHECK(reports.size() == maxOutcomeReports);
        CHECK(std::ranges::count(reports, failure(200)) == 1);
    }
    SECTION("a return cancels the failures before it")
    {
        untold.add(failure(1), now);
        untold.add({1, 0, 0, 0, true}, now);
        CHECK(untold.take(now) == OutcomeReports{{1, 0, 0, 0, true}});
    }
    SECTION("old counts are dropped")
    {
        untold.add(failure(1), now);
        CHECK(untold.take(now + milliseconds(3'001)).empty());
    }
    SECTION("counts stay within their type")
    {
        untold.add({1, 65'000, 65'000, 0, false}, now);
        untold.add({1, 65'000, 65'000, 0, false}, now);
        CHECK(untold.take(now) == OutcomeReports{{1, 65'535, 65'535, 0, false}});
    }
}

// Guards against malformed messages of another instance that are taken for reports.
TEST_CASE("malformed reports are refused", "[OutcomeSharing]")
{
    const auto [report, valid] = GENERATE(table<OutcomeReport, bool>({
        {{1, 2, 3, 4, true}, true},
        {{1, 0, 0, 0, false}, true},
        {{0, 1, 1, 0, false}, false},
        {{1, 2, 1, 0, false}, false},
    }));
    const OutcomeRequest request{{report}, milliseconds(3'000), true};
    const auto decoded = decodeOutcomeRequest(encodeOutcomeRequest(request));
    REQUIRE(decoded.has_value() == valid);
    if (valid)
        CHECK(*decoded == request);
    CHECK(decodeOutcomeReply(encodeOutcomeReply({report})).has_value() == valid);
    Bytes cut = encodeOutcomeRequest(request);
    cut.resize(cut.size() / 2);
    CHECK_FALSE(decodeOutcomeRequest(cut));
    CHECK_FALSE(decodeOutcomeRequest({}));
}

namespace {

/** \brief An instance of a large domain: its policy and its exchange of reports. */
struct PolicyNode
{
    static constexpr std::size_t upstreams = 40;

    PolicyNode(simulation::EventLoop &loop, Node *parent, unsigned instances)
        : node(loop, parent)
        , policy(this->directory, this->counters,
                 {[](const EjectionChange &) {}, [](std::string_view) { return 0U; },
                  [this](UpstreamIndex upstream, const OutcomeCounts &counts) {
                      this->node.sharing.report({this->directory.at(upstream).flowTag,
                                                 static_cast<std::uint16_t>(counts.failures),
                                                 static_cast<std::uint16_t>(counts.requests), 0,
                                                 false});
                  }})
    {
        for (std::size_t i = 0; i < upstreams; ++i) {
            UpstreamEntry entry;
            entry.name = "u-" + std::to_string(i);
            entry.service = "s1";
            entry.domain = "a";
            this->directory.update(std::vector<RegistryChange>{{entry.name, i + 1, entry}},
                                   loop.now());
        }
        this->policy.setInstancesPerDomain(instances);
        this->node.onReport = [this, &loop](const OutcomeReport &report) {
            const UpstreamIndex upstream = this->directory.findByTag(report.flowTag);
            this->policy.addReported(upstream, {report.failures, report.requests}, loop.now());
        };
        this->node.sharing.start();
    }

    [[nodiscard]] bool isEjected(UpstreamIndex upstream) const
    {
        return this->directory.at(upstream).ejection.ejected;
    }

    UpstreamDirectory directory{{}};
    Counters counters;
    Node node;
    EjectionPolicy policy;
};

/** \brief Instances that read their views in a tree, and their requests. */
class Domain
{
public:
    static constexpr unsigned instances = 23;
    static constexpr UpstreamIndex failing = 6; //!< The first upstreams fail 40 % of the requests.

    Domain()
    {
        for (unsigned i = 0; i < instances; ++i) {
            Node *parent = i == 0 ? nullptr : &this->nodes[(i - 1) / 4]->node;
            this->nodes.push_back(std::make_unique<PolicyNode>(this->loop, parent, instances));
        }
        this->loop.runFor(seconds(1));
    }
    ~Domain()
    {
        while (!this->nodes.empty())
            this->nodes.pop_back();
    }
    Domain(const Domain &) = delete;
    Domain &operator=(const Domain &) = delete;

    /** \brief Plays 26 requests a second on each instance. */
    void play(Duration duration, double usualShare, double failingShare)
    {
        const TimePoint end = this->loop.now() + duration;
        while (this->loop.now() < end) {
            for (int i = 0; i < 3; ++i)
                this->request(usualShare, failingShare);
            this->loop.runFor(milliseconds(5));
        }
    }

    /** \returns how many instances have ejected the upstreams in the range, on average. */
    [[nodiscard]] double ejectedOn(UpstreamIndex begin, UpstreamIndex end) const
    {
        double sum = 0;
        for (const auto &node : this->nodes) {
            for (UpstreamIndex i = begin; i < end; ++i)
                sum += node->isEjected(i) ? 1 : 0;
        }
        return sum / (end - begin);
    }

private:
    void request(double usualShare, double failingShare)
    {
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        PolicyNode &node = *this->nodes[this->random() % instances];
        const auto upstream = static_cast<UpstreamIndex>(this->random() % PolicyNode::upstreams);
        // Requests that hang keep new flows away, and ejections all but those that are open.
        if (upstream < failing && failingShare > usualShare && chance(this->random) > 0.4)
            return;
        if (node.isEjected(upstream) && chance(this->random) > 0.1)
            return;
        const double share = upstream < failing ? failingShare : usualShare;
        const auto outcome
            = chance(this->random) < share ? RequestOutcome::Late : RequestOutcome::Answered;
        node.policy.observe({upstream, {}, outcome, {}}, this->loop.now());
    }

    simulation::EventLoop loop;
    std::vector<std::unique_ptr<PolicyNode>> nodes;
    Random random{11};
};

} // namespace

// Guards against failing upstreams that the few requests of each instance do not reveal, and
// against ejections by chance or because a whole service is overloaded.
TEST_CASE("a domain finds the upstreams that fail 40 % of their requests", "[OutcomeSharing]")
{
    Domain domain;
    SECTION("six of forty fail")
    {
        domain.play(seconds(3), 0.005, 0.005);
        CHECK(domain.ejectedOn(0, PolicyNode::upstreams) < 0.2);
        domain.play(seconds(4), 0.005, 0.4);
        CHECK(domain.ejectedOn(0, Domain::failing) > 0.8 * Domain::instances);
        CHECK(domain.ejectedOn(Domain::failing, PolicyNode::upstreams) < 0.2);
    }
    SECTION("the whole service fails")
    {
        domain.play(seconds(6), 0.5, 0.5);
        CHECK(domain.ejectedOn(0, PolicyNode::upstreams) < 0.5);
    }
}

namespace {

/** \brief An instance with real connections: its server, and a client to its parent. */
struct LoopbackNode
{
    LoopbackNode(boost::asio::io_context &context, std::optional<Endpoint> parent,
                 bool takesPart = true)
        : scheduler(asioScheduler(context))
        , mirror(this->scheduler, {[](const ViewRequest &) { return false; },
                                   [](ViewKind) { return std::vector<ViewItem>(); },
                                   [] {
                                       return ReplyFreshness{};
                                   }})
        , sharing(this->scheduler, this->random,
                  {[parent]() -> std::optional<ViewSource> {
                       if (!parent)
                           return std::nullopt;
                       return ViewSource{parent, false, true};
                   },
                   [this, &context](const ViewSource &source) {
                       return std::make_unique<PeerViewClient>(context, *source.peer,
                                                               this->counters);
                   },
                   [this](const OutcomeReport &report) { this->received.push_back(report); },
                   [this] {
                       return this->ejections;
                   }})
        , server(context, {0x7f000001, 0}, this->mirror, this->counters, {},
                 takesPart ? &this->sharing : nullptr)
        , endpoint(startServer(this->server))
    {
        this->sharing.start();
    }

    Scheduler scheduler;
    Random random{1};
    Counters counters;
    OutcomeReports ejections;
    std::vector<OutcomeReport> received;
    ObjectMirror mirror;
    OutcomeSharing sharing;
    PeerViewServer server;
    Endpoint endpoint;
};

} // namespace

// Guards against differences between the simulated exchange and the one over connections.
TEST_CASE("reports pass over connections in both directions", "[OutcomeSharing]")
{
    boost::asio::io_context context;
    LoopbackNode root(context, std::nullopt);
    root.ejections.push_back({7, 0, 0, 1'500, false});
    LoopbackNode first(context, root.endpoint);
    LoopbackNode second(context, root.endpoint);
    REQUIRE(runUntil(context, [&] {
        return first.received == root.ejections && second.received == root.ejections;
    }));
    for (std::uint32_t tag = 1; tag <= maxOutcomeReports; ++tag)
        first.sharing.report(failure(tag));
    REQUIRE(runUntil(context, [&] {
        return root.received.size() >= maxOutcomeReports
               && second.received.size() > maxOutcomeReports;
    }));
    second.sharing.report({9, 0, 0, 0, true});
    REQUIRE(runUntil(context, [&] { return first.received.size() == 2; }));
    CHECK(first.received.back() == OutcomeReport{9, 0, 0, 0, true});
    CHECK(root.received.size() == maxOutcomeReports + 1);
    CHECK(root.counters.value("peer_view_malformed") == 0);
}

// Guards against an instance of another version that is asked again and again, and against a loss
// of the connection over which the view is read.
TEST_CASE("an instance that does not exchange reports refuses them", "[OutcomeSharing]")
{
    boost::asio::io_context context;
    LoopbackNode root(context, std::nullopt, false);
    LoopbackNode child(context, root.endpoint);
    REQUIRE(runUntil(context, [&] { return root.counters.value("peer_view_malformed") > 0; }));
    context.restart();
    context.run_for(std::chrono::milliseconds(300));
    CHECK(root.counters.value("peer_view_malformed") <= 2);
    CHECK_FALSE(child.sharing.hasNeighbours());
}

// Guards against input of a stranger that ends the process or stays open.
TEST_CASE("an exchange that can not be read ends its connection", "[OutcomeSharing]")
{
    const Bytes message = GENERATE(Bytes(20, std::byte{0xff}), Bytes(5'000, std::byte{0}),
                                   encodeOutcomeRequest({{{1, 9, 2, 0, false}}, {}, true}));
    boost::asio::io_context context;
    LoopbackNode root(context, std::nullopt);
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4(root.endpoint.address), root.endpoint.port});
    boost::asio::write(socket, boost::asio::buffer(ViewFrame{1, {}, message}.toBytes()));
    REQUIRE(runUntil(context, [&] { return root.counters.value("peer_view_malformed") == 1; }));
    CHECK(root.received.empty());
}
