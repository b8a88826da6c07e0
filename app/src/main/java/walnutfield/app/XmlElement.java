package walnutfield.app;

import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.validation.SchemaFactory;
import org.xml.sax.Attributes;
import org.xml.sax.InputSource;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.helpers.DefaultHandler;

/** An element of a file that keeps to the schema, with the line it stands on; left-out values are filled in. */
final class XmlElement {
    private static final String SCHEMA = "/walnutfield/settings.xsd";

    private final String file;
    private final String name;
    private final int line;
    private final Map<String, String> attributes = new LinkedHashMap<>();
    private final List<XmlElement> children = new ArrayList<>();

    private XmlElement(String file, String name, int line) {
        this.file = file;
        this.name = name;
        this.line = line;
    }

    /**
     * Reads a file and holds it against the schema; nothing outside the file is looked up.
     *
     * @throws InvalidSettingsException with the file, the line and the reason
     */
    static XmlElement read(Path path, String root) throws InvalidSettingsException {
        String shown = path.toString();
        try {
            return parse(shown, Files.readString(path), root);
        } catch (IOException e) {
            throw new InvalidSettingsException(shown, 0, "cannot be read: " + e.getMessage());
        }
    }

    static XmlElement parse(String shown, String text, String root) throws InvalidSettingsException {
        XmlElement[] found = new XmlElement[1];
        try {
            SchemaFactory schemas = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
            URL schema = XmlElement.class.getResource(SCHEMA);
            SAXParserFactory parsers = SAXParserFactory.newInstance();
            parsers.setNamespaceAware(true);
            parsers.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
            parsers.setSchema(schemas.newSchema(schema));
            parsers.newSAXParser().parse(new InputSource(new StringReader(text)), new DefaultHandler() {
                private final ArrayDeque<XmlElement> open = new ArrayDeque<>();
                private Locator at;

                @Override
                public void setDocumentLocator(Locator locator) {
                    at = locator;
                }

                @Override
                public void startElement(String uri, String local, String q, Attributes given) {
                    XmlElement e = new XmlElement(shown, local, at.getLineNumber());
                    for (int i = 0; i < given.getLength(); i++) {
                        e.attributes.put(given.getLocalName(i), given.getValue(i));
                    }
                    if (open.isEmpty()) {
                        found[0] = e;
                    } else {
                        open.peek().children.add(e);
                    }
                    open.push(e);
                }

                @Override
                public void endElement(String uri, String local, String q) {
                    open.pop();
                }

                @Override
                public void error(SAXParseException e) throws SAXException {
                    throw e;
                }
            });
        } catch (SAXParseException e) {
            throw new InvalidSettingsException(
                    shown, e.getLineNumber(), e.getMessage().replaceAll("^cvc-[^:]*: ", ""));
        } catch (SAXException | IOException | ParserConfigurationException e) {
            throw new InvalidSettingsException(shown, 0, e.toString());
        }
        if (!found[0].name.equals(root)) {
            throw found[0].bad("the file's root is <" + found[0].name + ">, not <" + root + ">");
        }
        return found[0];
    }

    /** The schema's text, for whoever wants to see it. */
    static String schema() throws IOException {
        try (InputStream in = XmlElement.class.getResourceAsStream(SCHEMA)) {
            return new String(in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    InvalidSettingsException bad(String reason) {
        return new InvalidSettingsException(file, line, reason);
    }

    /** The one child of that name; the schema says that it is there. */
    XmlElement one(String child) {
        return children.stream().filter(c -> c.name.equals(child)).findFirst().orElseThrow();
    }

    List<XmlElement> all(String child) {
        return children.stream().filter(c -> c.name.equals(child)).toList();
    }

    boolean has(String child) {
        return children.stream().anyMatch(c -> c.name.equals(child));
    }

    String text(String attribute) {
        return attributes.get(attribute);
    }

    double number(String attribute) {
        return Double.parseDouble(attributes.get(attribute));
    }

    int whole(String attribute) {
        return Integer.parseInt(attributes.get(attribute));
    }

    long longWhole(String attribute) {
        return Long.parseLong(attributes.get(attribute));
    }

    boolean flag(String attribute) {
        String v = attributes.get(attribute);
        return v.equals("true") || v.equals("1");
    }
}
